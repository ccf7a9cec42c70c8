//! Line plots as SVG files.

use crate::session::SessionError;
use plotters::prelude::*;
use std::ops::Range;
use std::path::Path;

/// Distinct colours, in the order in which they are used.
pub const COLORS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(80, 80, 80),
];

/// A series of a plot: a line, dots, or both.
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points joined by a line.
    pub points: Vec<(f64, f64)>,
    /// Points drawn as dots.
    pub dots: Vec<(f64, f64)>,
}

/// One plot with its axes.
pub struct Field {
    /// Title above the plot.
    pub caption: String,
    /// Label and range of the horizontal axis.
    pub x: (String, Range<f64>),
    /// Label and range of the vertical axis.
    pub y: (String, Range<f64>),
    /// The series.
    pub lines: Vec<Line>,
}

/// Writes plots, one below the other, to an SVG file. Creates its folder if there is none.
///
/// # Errors
/// When the plots cannot be drawn or the file cannot be written.
pub fn write(fields: &[Field], path: &Path) -> Result<(), SessionError> {
    let fault = |e: std::io::Error| SessionError::File(path.display().to_string(), e);
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(fault)?;
    }
    let mut text = String::new();
    let height = if fields.len() == 1 { 460 } else { 260 * fields.len() as u32 };
    draw(fields, &mut text, height).map_err(|e| fault(std::io::Error::other(e.to_string())))?;
    std::fs::write(path, text).map_err(fault)
}

fn draw(fields: &[Field], to: &mut String, height: u32) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(to, (900, height)).into_drawing_area();
    area.fill(&WHITE)?;
    for (field, part) in fields.iter().zip(area.split_evenly((fields.len(), 1))) {
        let mut chart = ChartBuilder::on(&part)
            .caption(&field.caption, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(field.x.1.clone(), field.y.1.clone())?;
        chart.configure_mesh().x_desc(&field.x.0).y_desc(&field.y.0).draw()?;
        for (line, color) in field.lines.iter().zip(COLORS.iter().cycle()) {
            let color = *color;
            let points = line.points.iter().copied();
            let drawn = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
            let drawn = drawn.label(&line.name);
            drawn.legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
            chart.draw_series(line.dots.iter().map(|p| Circle::new(*p, 3, color.filled())))?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
    }
    area.present()?;
    Ok(())
}
