//! Formats the status document as text for people.

use serde_json::Value;
use std::fmt::Write;

/// Columns of the table of backends: keys of the document.
const BACKEND_COLUMNS: [&str; 11] =
    ["name", "address", "state", "cordoned", "kind", "ready", "share", "held", "room", "errors", "ejected"];
/// Columns of the table of kinds of machines.
const KIND_COLUMNS: [&str; 4] = ["name", "ready", "speed_rps", "share"];
/// Keys that are shown one per line.
const SINGLE_KEYS: [&str; 6] =
    ["accepting", "clients", "open_requests", "open_attempts", "timer_lag_us", "settings_generation"];

/// Formats the document: a table of backends, one of kinds, a line of counts and one of discovery, and a line for
/// each other key.
pub(super) fn render(document: &Value) -> String {
    let mut out = rows(&document["backends"], &BACKEND_COLUMNS);
    out.push_str(&rows(&document["kinds"], &KIND_COLUMNS));
    for (title, key) in [("since the start", "counts"), ("discovery", "discovery")] {
        if let Some(object) = document[key].as_object() {
            let fields: Vec<String> =
                object.iter().map(|(name, value)| format!("{name} {}", cell(value))).collect();
            let _ = writeln!(out, "{title}: {}", fields.join(", "));
        }
    }
    for key in SINGLE_KEYS {
        let _ = writeln!(out, "{key}: {}", cell(&document[key]));
    }
    out
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}

/// Formats a header, a line for each entry of the array, and an empty line. Returns an empty string if `array` is
/// not an array.
fn rows(array: &Value, columns: &[&str]) -> String {
    let Some(entries) = array.as_array() else { return String::new() };
    let mut table: Vec<Vec<String>> = vec![columns.iter().map(|column| (*column).to_string()).collect()];
    for entry in entries {
        table.push(columns.iter().map(|column| cell(&entry[*column])).collect());
    }
    let width = |column: usize| table.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut out = String::new();
    for row in &table {
        let padded = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line: Vec<String> = padded.collect();
        let _ = writeln!(out, "{}", line.join("  ").trim_end());
    }
    out.push('\n');
    out
}
