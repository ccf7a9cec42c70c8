//! The generated part of docs/CAPACITY.md: tables created from records, and the check that page and records agree.

use super::record::{format_short, Record, Series};
use super::rows::{Laws, Row};
use super::target::Target;
use super::ScaleRunError;
use crate::session::print;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Marker before the generated part of the page.
const BEGIN: &str = "<!-- capacity: generated from docs/capacity, do not edit -->";
/// Marker after the generated part of the page.
const END: &str = "<!-- capacity: end -->";

/// Write the tables of the capacity page from the records, or check that they agree.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The capacity page.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    pub page: PathBuf,
    /// Folder of the records and the target.
    #[arg(long, default_value = "docs/capacity")]
    pub records: PathBuf,
    /// Write nothing; fail if page and records differ.
    #[arg(long)]
    pub check: bool,
}

/// Writes or checks the page. Returns whether a checked page agrees with its records.
///
/// # Errors
/// Fails if a file cannot be read or written, or if the page lacks the markers.
pub fn main(args: &Args) -> Result<bool, ScaleRunError> {
    let old = std::fs::read_to_string(&args.page)?;
    let new = with_block(&old, &block(&args.records)?)?;
    let agrees = old == new;
    if args.check {
        print(if agrees {
            "page and records agree\n"
        } else {
            "page and records differ: run `lotusdeck-testbed capacity`\n"
        });
        return Ok(agrees);
    }
    std::fs::write(&args.page, new)?;
    Ok(true)
}

/// Returns the page with its generated part replaced.
///
/// # Errors
/// Fails if the page lacks the two markers in their order.
pub fn with_block(page: &str, block: &str) -> Result<String, ScaleRunError> {
    let parts = page.split_once(BEGIN).and_then(|(head, rest)| Some((head, rest.split_once(END)?.1)));
    let (head, tail) = parts.ok_or_else(|| {
        ScaleRunError::Page(format!("the page: expected the lines {BEGIN} and {END}, in this order"))
    })?;
    Ok(format!("{head}{BEGIN}\n\n{block}\n{END}{tail}"))
}

/// Generates all tables from the records of a folder.
///
/// # Errors
/// Fails if a record or the target cannot be read.
pub fn block(folder: &Path) -> Result<String, ScaleRunError> {
    let target = Target::load(&folder.join("target.toml"))?;
    let records = records(folder)?;
    let rows = Laws::new(&records, &target).rows();
    Ok([sources(&records), costs(&rows), ranking(&rows), laws(&records)].join("\n"))
}

/// Reads all records of a folder, sorted by date, with the label `before` ahead of other labels of the same day.
fn records(folder: &Path) -> Result<Vec<Record>, ScaleRunError> {
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        paths.push(entry?.path());
    }
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "json"));
    let read = |path: &PathBuf| -> Result<Record, ScaleRunError> {
        let text = std::fs::read_to_string(path)?;
        serde_json::from_str(&text).map_err(|error| ScaleRunError::Record(path.display().to_string(), error))
    };
    let mut records = paths.iter().map(read).collect::<Result<Vec<Record>, _>>()?;
    records.sort_by_key(|record| {
        (record.date.clone(), record.label != "before", record.label.clone(), record.experiment.name.clone())
    });
    Ok(records)
}

fn sources(records: &[Record]) -> String {
    let mut text = String::from(
        "### Records\n\n| experiment | label | commit | date | repetitions | seed | events | command |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for record in records {
        let Record { label, commit, date, command, experiment, events, .. } = record;
        let _ = writeln!(
            text,
            "| {} | {label} | {commit} | {date} | {} | {} | {events} | `{command}` |",
            experiment.name, experiment.repeats, experiment.seed
        );
    }
    text
}

fn costs(rows: &[Row]) -> String {
    let mut text = String::from(
        "### Costs at the target\n\n| role | what | at the target | budget | of it | beyond what was measured | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let value = row.unit.format(row.value);
        let value = if exceeds_budget(row) { format!("**{value}**") } else { value };
        let budget = row.budget.map_or("none named".into(), |budget| row.unit.format(budget));
        let ratio = row.ratio().map_or("-".into(), |ratio| {
            let ratio = format_ratio(ratio);
            if exceeds_budget(row) {
                format!("**{ratio}**")
            } else {
                ratio
            }
        });
        let _ = writeln!(
            text,
            "| {} | {} | {value} | {budget} | {ratio} | {:.1} x | {} |",
            row.role.name(),
            row.what,
            row.extrapolated,
            row.carried_by
        );
    }
    text
}

fn exceeds_budget(row: &Row) -> bool {
    row.ratio().is_some_and(|ratio| ratio > 1.0)
}

fn format_ratio(ratio: f64) -> String {
    match ratio {
        ratio if ratio >= 10.0 => format!("{ratio:.0} x"),
        ratio if ratio >= 0.01 => format!("{ratio:.2} x"),
        ratio => format!("{ratio:.0e} x"),
    }
}

fn ranking(rows: &[Row]) -> String {
    let mut over_budget: Vec<&Row> = rows.iter().filter(|row| exceeds_budget(row)).collect();
    over_budget.sort_by(|a, b| b.ratio().unwrap_or(0.0).total_cmp(&a.ratio().unwrap_or(0.0)));
    let mut text = String::from("### Over budget, the worst first\n\n");
    for (at, row) in over_budget.iter().enumerate() {
        let ratio = row.ratio().map_or(String::new(), format_ratio);
        let _ = writeln!(
            text,
            "{}. **{ratio}** {}: {} ({}); {}",
            at + 1,
            row.role.name(),
            row.what,
            row.unit.format(row.value),
            row.carried_by
        );
    }
    if over_budget.is_empty() {
        text.push_str("None.\n");
    }
    text
}

fn laws(records: &[Record]) -> String {
    let mut text = String::from(
        "### Measured laws\n\nMedians; `y = floor + a x^b`. Seconds, bytes and parts of a core.\n\n| experiment | axis | quantity | measured at | medians | floor | a | b | residual |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for record in records {
        for series in &record.series {
            let name = format!("{} ({})", record.experiment.name, record.label);
            let _ = writeln!(text, "| {name} | {}", law(series));
        }
    }
    text
}

fn law(series: &Series) -> String {
    let join = |values: Vec<String>| values.join(", ");
    let steps = join(series.points.iter().map(|point| point.x.to_string()).collect());
    let medians = join(series.points.iter().map(|point| format_short(point.median())).collect());
    let fit = series.fit.map_or("- | - | -".into(), |fit| {
        format!("{} | {:.2} | {:.0} %", format_short(fit.factor), fit.power, fit.residual * 100.0)
    });
    let axis = series.axis.name();
    format!(
        "{axis} | {} | {steps} | {medians} | {} | {fit} |",
        series.metric.name(),
        format_short(series.floor)
    )
}
