//! What a scale experiment measured, as JSON, and as a table and a plot.

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
    /// `Settings::read` in this process, s.
    ReadSeconds,
    /// `Settings::succeeded_by` in this process, s.
    SucceedSeconds,
    /// The look-up of the last name, as each request does, s.
    LookupSeconds,
    /// From a process's start to its first answer on `/-/ready`, s.
    ReadySeconds,
    /// Resident memory, bytes.
    MemoryBytes,
    /// Resident memory after the reloads, bytes.
    ReloadedMemoryBytes,
    /// From SIGHUP until the settings are in force, s.
    ReloadSeconds,
    /// Processor time of one reload, s.
    ReloadProcessorSeconds,
    /// Median latency without a reload, s.
    QuietP50Seconds,
    /// 99th percentile without a reload, s.
    QuietP99Seconds,
    /// Longest latency without a reload, s.
    QuietLongestSeconds,
    /// Median latency in a window with a reload, s.
    ReloadP50Seconds,
    /// 99th percentile in a window with a reload, s.
    ReloadP99Seconds,
    /// Longest latency in a window with a reload, s.
    ReloadLongestSeconds,
    /// Requests without a served answer, in all windows of one repetition.
    Failed,
    /// Bytes of a whole list with its head and call.
    WholeListBytes,
    /// Processor time that a process spends on taking a whole list, s.
    WholeListProcessorSeconds,
    /// Processor time for one changed line, s.
    LineProcessorSeconds,
    /// Processor time a second at rest, without requests or news.
    RestProcessorShare,
    /// From a change until real proxies have it in force, median, s.
    RealInForceP50Seconds,
    /// Its 99th percentile, s.
    RealInForceP99Seconds,
    /// From a change until hollow proxies have it in force, median, s.
    HollowInForceP50Seconds,
    /// Its 99th percentile, s.
    HollowInForceP99Seconds,
    /// Until all followers have their first whole list, s.
    AllHaveListSeconds,
    /// Bytes a second that discovery tells all followers at rest.
    RestBytesPerSecond,
    /// Calls a second at rest.
    RestCallsPerSecond,
    /// Bytes that one restart of a backend costs discovery, to all followers.
    RestartBytes,
    /// Calls for one restart.
    RestartCalls,
    /// Lines told for one restart.
    RestartLines,
    /// Bytes for the first of the groups that goes and comes back.
    GroupBytes,
    /// Until all followers have it in force that the last of the groups is gone, s.
    GroupInForceSeconds,
    /// Bytes for the last of the groups that goes and comes back.
    LargestGroupBytes,
    /// Bytes a second that a member sends for membership alone.
    MembershipBytesPerSecond,
    /// Bytes a second that a member sends where it also tells what it holds.
    TalkBytesPerSecond,
    /// Processor time a second of a member that tells what it holds.
    TalkProcessorShare,
}

impl Metric {
    /// Its name in tables, as in records.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|name| name.as_str().map(String::from)).unwrap_or_default()
    }
}

/// The values of one step, one for each repetition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// How many there were.
    pub x: f64,
    /// What was measured.
    pub values: Vec<f64>,
}

impl Point {
    /// The middle value; of an even number the upper one of the two.
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
    /// What is there without any on the axis; the fit is of what lies above it.
    pub floor: f64,
    /// The steps.
    pub points: Vec<Point>,
    /// The law of the medians above the floor.
    pub fit: Option<Fit>,
}

impl Series {
    /// What `x` of the axis bring beyond the floor: what was measured where `x` is a step, and else what the law
    /// gives.
    pub fn above_floor(&self, x: f64) -> Option<f64> {
        let measured = self.points.iter().find(|point| point.x == x);
        match measured {
            Some(point) => Some(point.median() - self.floor),
            None => Some(self.fit?.at(x)),
        }
    }

    /// How far `x` lies beyond the greatest step: 1 or less means within.
    pub fn extrapolated(&self, x: f64) -> f64 {
        x / self.points.iter().map(|point| point.x).fold(0.0, f64::max)
    }
}

/// All that one run of an experiment measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Sets runs of one experiment on different code apart: `before`, `after`.
    pub label: String,
    /// The commit of the program that was measured.
    pub commit: String,
    /// The day.
    pub date: String,
    /// The command.
    pub command: String,
    /// The experiment as it was played.
    pub experiment: ScaleExperiment,
    /// The hash of its events.
    pub events: String,
    /// The quantities.
    pub series: Vec<Series>,
}

impl Record {
    /// One quantity.
    pub fn series(&self, axis: AxisKind, metric: Metric) -> Option<&Series> {
        self.series.iter().find(|series| (series.axis, series.metric) == (axis, metric))
    }

    /// A table of all quantities.
    pub fn table(&self) -> String {
        let Record { label, commit, date, events, .. } = self;
        let mut text = format!(
            "{} ({label}), commit {commit}, {date}, seed {}, events {events}; medians of {}\n",
            self.experiment.name, self.experiment.seed, self.experiment.repeats
        );
        for series in &self.series {
            let _ = write!(text, "{:<9} {:<28}", series.axis.name(), series.metric.name());
            for point in &series.points {
                let _ = write!(text, " {}:{}", point.x, short(point.median()));
            }
            if series.floor != 0.0 {
                let _ = write!(text, "  floor {}", short(series.floor));
            }
            let law = series.fit.map(|fit| {
                let Fit { factor, power, residual, .. } = fit;
                format!("  y = {} x^{power:.2}, residual {:.0} %", short(factor), residual * 100.0)
            });
            let _ = writeln!(text, "{}", law.unwrap_or_else(|| "  no fit".into()));
        }
        text
    }

    /// One field for each axis and metric with a law: points and law, both logarithmic.
    pub fn fields(&self) -> Vec<Field> {
        self.series.iter().filter_map(field).collect()
    }
}

/// Steps of the drawn law.
const DRAWN: usize = 40;

fn field(series: &Series) -> Option<Field> {
    let fit = series.fit?;
    let above = |point: &Point| (point.x.log10(), (point.median() - series.floor).log10());
    let dots: Vec<(f64, f64)> =
        series.points.iter().map(above).filter(|(x, y)| x.is_finite() && y.is_finite()).collect();
    let low = dots.iter().map(|dot| dot.0).fold(f64::INFINITY, f64::min);
    let high = dots.iter().map(|dot| dot.0).fold(0.0, f64::max).max(low + 0.1);
    let at = |step: usize| low + (high - low) * step as f64 / DRAWN as f64;
    let points: Vec<(f64, f64)> =
        (0..=DRAWN).map(|step| (at(step), fit.at(10f64.powf(at(step))).log10())).collect();
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

/// Three digits.
pub fn short(value: f64) -> String {
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

/// The value that this part of all lies below or at; sorts them.
pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * part).round() as usize).copied().unwrap_or(0.0)
}

/// Gathers values by axis, quantity and step.
#[derive(Default)]
pub struct Gathered(Vec<Series>);

impl Gathered {
    /// Adds one value.
    pub fn add(&mut self, axis: AxisKind, metric: Metric, x: usize, value: f64) {
        let x = x as f64;
        let series = self.series(axis, metric);
        match series.points.iter_mut().find(|point| point.x == x) {
            Some(point) => point.values.push(value),
            None => series.points.push(Point { x, values: vec![value] }),
        }
    }

    /// Says what there is without any on the axis.
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

    /// All series, in order, with their laws.
    pub fn finish(mut self) -> Vec<Series> {
        for series in &mut self.0 {
            series.points.sort_by(|a, b| a.x.total_cmp(&b.x));
            let medians: Vec<(f64, f64)> =
                series.points.iter().map(|point| (point.x, point.median() - series.floor)).collect();
            series.fit = Fit::of(&medians);
        }
        self.0.sort_by_key(|series| (series.axis, series.metric));
        self.0
    }
}
