//! A self-contained HTML page about a run: plots as SVG, tables and the course of events.

use super::figures::{Figures, Tally};
use super::plot::COLORS;
use super::table::table;
use crate::driver::run::{describe_act, Sample};
use crate::world::plan::Plan;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 240);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// A line of a plot.
struct Line {
    name: String,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

fn plot(title: &str, end: f64, marks: &[f64], lines: &[Line]) -> String {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        if let Err(e) = draw(&area, title, end, marks, lines) {
            return format!("<p>{title}: no plot: {}</p>", escape(&e.to_string()));
        }
    }
    svg
}

fn draw(area: &Area, title: &str, end: f64, marks: &[f64], lines: &[Line]) -> DrawResult {
    let top = lines.iter().flat_map(|l| &l.points).map(|p| p.1).fold(0.0, f64::max).max(1e-9) * 1.08;
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart.configure_mesh().light_line_style(WHITE).x_labels(12).y_labels(5).draw()?;
    for at in marks {
        chart.draw_series(LineSeries::new([(*at, 0.0), (*at, top)], RGBColor(200, 200, 200)))?;
    }
    for line in lines {
        let color = line.color;
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let drawn = chart.draw_series(series)?.label(&line.name);
        drawn.legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2)).draw()?;
    area.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn line(i: usize, name: &str, points: Vec<(f64, f64)>) -> Line {
    Line { name: name.into(), color: COLORS[i % COLORS.len()], points }
}

/// Formats the page of a run.
pub fn page(plan: &Plan, f: &Figures, samples: &[Sample], stories: &[String]) -> String {
    let e = &plan.experiment;
    let (end, seconds) = (e.duration_s, &f.seconds);
    let marks: Vec<f64> = plan.acts.iter().map(|a| a.0 .0 as f64 / 1e6).collect();
    let of = |value: &dyn Fn(&Tally) -> f64| -> Vec<(f64, f64)> {
        seconds.iter().enumerate().map(|(s, t)| (s as f64 + 0.5, value(t))).collect()
    };
    let mut plots = vec![
        plot(
            "worth answered in time, part of what was asked, by second",
            end,
            &marks,
            &[line(0, "worth", of(&Tally::earned_part))],
        ),
        plot(
            "requests by second",
            end,
            &marks,
            &[
                line(0, "wanted", of(&|t| t.arrivals as f64)),
                line(2, "in time", of(&|t| t.in_time as f64)),
                line(4, "late", of(&|t| t.late as f64)),
                line(1, "refused", of(&|t| t.refused as f64)),
                line(3, "failed", of(&|t| t.failed as f64)),
            ],
        ),
        plot(
            "latency of what was served, ms, by second",
            end,
            &marks,
            &[line(0, "p50", of(&|t| t.latency_ms.p50)), line(1, "p99", of(&|t| t.latency_ms.p99))],
        ),
    ];
    let per_proxy = |value: &dyn Fn(&Sample, &Sample) -> f64| -> Vec<Line> {
        let samples_of = |p: usize| samples.iter().filter(move |s| s.proxy == p);
        let points = |p: usize| {
            samples_of(p).zip(samples_of(p).skip(4)).step_by(4).map(|(a, b)| (b.at_s, value(a, b))).collect()
        };
        (0..e.proxies.min(6)).map(|p| line(p, &format!("proxy {p}"), points(p))).collect()
    };
    let cores = |a: &Sample, b: &Sample| {
        b.usage.cpu.saturating_sub(a.usage.cpu).as_secs_f64() / (b.at_s - a.at_s).max(1e-3)
    };
    plots.push(plot("cores used by each proxy", end, &marks, &per_proxy(&cores)));
    plots.push(plot(
        "memory of each proxy, MB",
        end,
        &marks,
        &per_proxy(&|_, b| b.usage.memory as f64 / 1e6),
    ));
    let events: String = plan
        .acts
        .iter()
        .map(|(at, act)| {
            format!(
                "<tr><td>{:.2} s</td><td>{}</td></tr>",
                at.0 as f64 / 1e6,
                escape(&describe_act(plan, act))
            )
        })
        .collect();
    let stories = stories.iter().map(|s| format!("<pre>{}</pre>", escape(s))).collect::<String>();
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>body{{font:15px sans-serif;max-width:960px;margin:2em auto;padding:0 1em}}\
         pre{{background:#f4f4f4;padding:1em;overflow-x:auto}}td{{padding:.1em .8em .1em 0}}svg{{max-width:100%}}</style>\
         <h1>{name}</h1><p>{about}</p><p>{count} arrivals, {backends} backends, {proxies} proxies, seed {seed}.</p>\
         <pre>{table}</pre>{plots}<h2>What happened</h2><table>{events}</table>{heading}{stories}</html>\n",
        name = escape(&e.name),
        about = escape(&e.about),
        count = plan.arrivals.len(),
        backends = plan.fleet.len(),
        proxies = e.proxies,
        seed = plan.seed,
        table = escape(&table(f, &[])),
        plots = plots.concat(),
        heading = if stories.is_empty() { "" } else { "<h2>Broken rules</h2>" },
    )
}
