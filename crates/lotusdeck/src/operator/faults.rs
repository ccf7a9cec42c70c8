//! Faults in an operator file, and how their messages name the value that was found and the name that was meant.

use std::path::PathBuf;
use thiserror::Error;
use toml::de::DeValue;

/// The minimum similarity (normalized Damerau-Levenshtein, 0 to 1) at which a known name is suggested for an unknown
/// one. It allows for a typing error in a short name and for a missing unit at the end.
const MIN_SIMILARITY: f64 = 0.6;

/// A fault in an operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Offset of the fault in the text, bytes.
    pub offset: usize,
    /// The key, table or section, and what is wrong with it.
    pub message: String,
}

/// Why an operator file is rejected.
#[derive(Debug, Error)]
pub(crate) enum OperatorError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file has faults.
    #[error("{path}: {first} ({count} faults in all; `lotusdeck check` tells each)")]
    Faults {
        /// The file.
        path: PathBuf,
        /// The message of the first fault.
        first: String,
        /// The number of faults.
        count: usize,
    },
}

impl Fault {
    /// Returns the fault of a text that is not TOML.
    pub(crate) fn syntax(error: &toml::de::Error) -> Fault {
        let offset = error.span().map_or(0, |span| span.start);
        Fault { offset, message: error.message().into() }
    }
}

/// Returns the type of a TOML value, in words.
pub(super) fn type_name(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number with a fraction",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}

/// Returns the known name that is most similar to `name`, if any is similar enough.
fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::normalized_damerau_levenshtein(name, known), known));
    let similar = scored.filter(|(score, _)| *score >= MIN_SIMILARITY);
    similar.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, known)| known)
}

/// Returns the message for an unknown name; `what` is `key` or `table`.
pub(super) fn unknown_name<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    match nearest(name, known) {
        Some(nearest) => format!("{name}: no such {what}; did you mean {nearest}?"),
        None => format!("{name}: no such {what}"),
    }
}
