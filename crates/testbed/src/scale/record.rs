//! The results of a scale experiment, as JSON, as a table and as a plot.

use super::experiment::{AxisKind, ScaleExperiment};
use super::fit::Fit;
use crate::report::plot::{Field, Line};
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// A measured quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Bytes of the node configuration.
    DocumentBytes,
    /// Duration of `Settings::read` in this process, s.
    ReadSeconds,
    /// Duration of `Settings::merge_successor` in this process, s.
    SucceedSeconds,
    /// Duration of the look-up of the last tenant and route, as for each request, s.
    LookupSeconds,
    /// Time from the start of a process to its first answer on `/-/ready`, s.
    ReadySeconds,
    /// Resident memory, bytes.
    MemoryBytes,
    /// Resident memory after the reloads, bytes.
    ReloadedMemoryBytes,
    /// Time from SIGHUP until the settings are in force, s.
    ReloadSeconds,
    /// Processor time of one reload, s.
    ReloadProcessorSeconds,
    /// Median latency without a reload, s.
    QuietP50Seconds,
    /// 99th percentile of the latency without a reload, s.
    QuietP99Seconds,
    /// Longest latency without a reload, s.
    QuietLongestSeconds,
    /// Median latency in a window with a reload, s.
    ReloadP50Seconds,
    /// 99th percentile of the latency in a window with a reload, s.
    ReloadP99Seconds,
    /// Longest latency in a window with a reload, s.
    ReloadLongestSeconds,
    /// Requests that were not served, in all windows of one repetition.
    Failed,
    /// Bytes of a whole list, including request and response head.
    WholeListBytes,
    /// Processor time of a process that starts and reads a whole list, s.
    WholeListProcessorSeconds,
    /// Processor time of one changed line, s.
    LineProcessorSeconds,
    /// Share of a processor used without requests or changes.
    RestProcessorShare,
    /// Median time from a change until real proxies have it in force, s.
    RealInForceP50Seconds,
    /// Its 99th percentile, s.
    RealInForceP99Seconds,
    /// Median time from a change until hollow proxies have it in force, s.
    HollowInForceP50Seconds,
    /// Its 99th percentile, s.
    HollowInForceP99Seconds,
    /// Time until all followers have their first whole list, s.
    AllHaveListSeconds,
    /// Bytes a second between discovery and all followers without changes.
    RestBytesPerSecond,
    /// Calls a second from all followers without changes.
    RestCallsPerSecond,
    /// Bytes between discovery and all followers for one restart of a backend.
    RestartBytes,
    /// Calls from all followers for one restart.
    RestartCalls,
    /// Lines sent to all followers for one restart.
    RestartLines,
    /// Bytes between discovery and all followers when the first of the groups leaves and returns.
    GroupBytes,
    /// Time until all followers have a change of the last of the groups in force, s.
    GroupInForceSeconds,
    /// Bytes between discovery and all followers when the last of the groups leaves and returns.
    LargestGroupBytes,
    /// Bytes a second that a member sends for membership alone.
    MembershipBytesPerSecond,
    /// Bytes a second that a member sends for membership and load reports.
    TalkBytesPerSecond,
    /// Share of a processor used by a member that sends load reports.
    TalkProcessorShare,
}

impl Metric {
    /// Returns the name of the quantity in tables and records.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|name| name.as_str().map(String::from)).unwrap_or_default()
    }
}

/// The values of one step, one for each repetition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size at this step.
    pub x: f64,
    /// The measured values.
    pub values: Vec<f64>,
}

impl Point {
    /// Returns the median; of an even number of values, the upper of the two middle ones.
    pub fn median(&self) -> f64 {
        quantile(&mut self.values.clone(), 0.5)
    }
}

/// One quantity along one axis.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The axis.
    pub axis: AxisKind,
    /// The quantity.
    pub metric: Metric,
    /// The value at size 0 of the axis; the fit is of the values above it.
    pub floor: f64,
    /// The steps.
    pub points: Vec<Point>,
    /// The power law fitted to the medians above the floor.
    pub fit: Option<Fit>,
}

impl Series {
    /// Returns the value at `x` above the floor: the measured one if `x` is a step, else that of the fitted law.
    pub fn above_floor(&self, x: f64) -> Option<f64> {
        let measured = self.points.iter().find(|point| point.x == x);
        match measured {
            Some(point) => Some(point.median() - self.floor),
            None => Some(self.fit?.at(x)),
        }
    }

    /// Returns the ratio of `x` to the largest step: 1 or less is within the measured range.
    pub fn extrapolated(&self, x: f64) -> f64 {
        x / self.points.iter().map(|point| point.x).fold(0.0, f64::max)
    }
}

/// The results of one run of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Label to tell apart runs of one experiment on different code: `before`, `after`.
    pub label: String,
    /// The commit of the program that was measured.
    pub commit: String,
    /// The day of the run.
    pub date: String,
    /// The command line of the run.
    pub command: String,
    /// The experiment that was run.
    pub experiment: ScaleExperiment,
    /// The hash of the experiment's events.
    pub events: String,
    /// The measured quantities.
    pub series: Vec<Series>,
}

impl Record {
    /// Returns the series of one quantity along one axis.
    pub fn series(&self, axis: AxisKind, metric: Metric) -> Option<&Series> {
        self.series.iter().find(|series| (series.axis, series.metric) == (axis, metric))
    }

    /// Formats a table of all quantities.
    pub fn table(&self) -> String {
        let Record { label, commit, date, events, .. } = self;
        let mut text = format!(
            "{} ({label}), commit {commit}, {date}, seed {}, events {events}; medians of {}\n",
            self.experiment.name, self.experiment.seed, self.experiment.repeats
        );
        for series in &self.series {
            let _ = write!(text, "{:<9} {:<28}", series.axis.name(), series.metric.name());
            for point in &series.points {
                let _ = write!(text, " {}:{}", point.x, format_short(point.median()));
            }
            if series.floor != 0.0 {
                let _ = write!(text, "  floor {}", format_short(series.floor));
            }
            let law = series.fit.map(|fit| {
                let Fit { factor, power, residual, .. } = fit;
                format!("  y = {} x^{power:.2}, residual {:.0} %", format_short(factor), residual * 100.0)
            });
            let _ = writeln!(text, "{}", law.unwrap_or_else(|| "  no fit".into()));
        }
        text
    }

    /// Returns a plot field for each axis and metric with a fit: points and fitted law on logarithmic axes.
    pub fn fields(&self) -> Vec<Field> {
        self.series.iter().filter_map(field).collect()
    }
}

/// Line segments of a drawn law.
const CURVE_SEGMENTS: usize = 40;

fn field(series: &Series) -> Option<Field> {
    let fit = series.fit?;
    let above = |point: &Point| (point.x.log10(), (point.median() - series.floor).log10());
    let dots: Vec<(f64, f64)> =
        series.points.iter().map(above).filter(|(x, y)| x.is_finite() && y.is_finite()).collect();
    let low = dots.iter().map(|dot| dot.0).fold(f64::INFINITY, f64::min);
    let high = dots.iter().map(|dot| dot.0).fold(0.0, f64::max).max(low + 0.1);
    let at = |step: usize| low + (high - low) * step as f64 / CURVE_SEGMENTS as f64;
    let points: Vec<(f64, f64)> =
        (0..=CURVE_SEGMENTS).map(|step| (at(step), fit.at(10f64.powf(at(step))).log10())).collect();
    let heights = || dots.iter().chain(&points).map(|dot| dot.1);
    let (bottom, top) = (heights().fold(f64::INFINITY, f64::min), heights().fold(f64::MIN, f64::max));
    let name = format!("x^{:.2}, residual {:.0} %", fit.power, fit.residual * 100.0);
    Some(Field {
        caption: format!("{} by {}", series.metric.name(), series.axis.name()),
        x: (format!("log10 {}", series.axis.name()), low..high),
        y: ("log10".into(), bottom - 0.1..top + 0.1),
        lines: vec![Line { name, points, dots }],
    })
}

/// Formats a value in short form: whole numbers from 100, two decimals from 1, four decimals below, and
/// scientific notation from 100,000 and below 0.001.
pub fn format_short(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    match value.abs() {
        size if !(1e-3..1e5).contains(&size) => format!("{value:.2e}"),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

/// Sorts the values and returns the quantile `fraction`, or 0 if there are none.
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * fraction).round() as usize).copied().unwrap_or(0.0)
}

/// Collects measured values by axis, quantity and step.
#[derive(Default)]
pub struct Measurements(Vec<Series>);

impl Measurements {
    /// Adds one value.
    pub fn add(&mut self, axis: AxisKind, metric: Metric, x: usize, value: f64) {
        let x = x as f64;
        let series = self.series(axis, metric);
        match series.points.iter_mut().find(|point| point.x == x) {
            Some(point) => point.values.push(value),
            None => series.points.push(Point { x, values: vec![value] }),
        }
    }

    /// Sets the value at size 0 of the axis.
    pub fn floor(&mut self, axis: AxisKind, metric: Metric, floor: f64) {
        self.series(axis, metric).floor = floor;
    }

    fn series(&mut self, axis: AxisKind, metric: Metric) -> &mut Series {
        let known = self.0.iter().position(|series| (series.axis, series.metric) == (axis, metric));
        let at = known.unwrap_or_else(|| {
            self.0.push(Series { axis, metric, floor: 0.0, points: Vec::new(), fit: None });
            self.0.len() - 1
        });
        &mut self.0[at]
    }

    /// Returns all series, sorted by axis and metric, with their fits.
    pub fn finish(mut self) -> Vec<Series> {
        for series in &mut self.0 {
            series.points.sort_by(|a, b| a.x.total_cmp(&b.x));
            let medians: Vec<(f64, f64)> =
                series.points.iter().map(|point| (point.x, point.median() - series.floor)).collect();
            series.fit = Fit::from_points(&medians);
        }
        self.0.sort_by_key(|series| (series.axis, series.metric));
        self.0
    }
}
