//! What can be wrong with an operator file, and how messages name what was found and what was meant.

use std::path::PathBuf;
use thiserror::Error;
use toml::de::DeValue;

/// From this similarity on (normalized Damerau-Levenshtein, 0 to 1) an unknown name is answered with the known one: a
/// slip in a short name, or a missing unit at its end, still finds it.
const MIN_SIMILARITY: f64 = 0.6;

/// One thing that is wrong with an operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Offset of the place at fault in the text, bytes.
    pub offset: usize,
    /// Where and what, in words.
    pub message: String,
}

/// Why an operator file is refused.
#[derive(Debug, Error)]
pub(crate) enum OperatorError {
    /// It cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// Something in it is wrong.
    #[error("{path}: {first} ({count} faults in all; `lotusdeck check` tells each)")]
    Faults {
        /// The file.
        path: PathBuf,
        /// The first fault, in words.
        first: String,
        /// How many there are.
        count: usize,
    },
}

impl Fault {
    /// A place where the text is not TOML.
    pub(crate) fn syntax(error: &toml::de::Error) -> Fault {
        let offset = error.span().map_or(0, |span| span.start);
        Fault { offset, message: error.message().into() }
    }
}

/// The type of a TOML value, in words.
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

/// The known name most like `name`, if any is like it.
fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::normalized_damerau_levenshtein(name, known), known));
    let similar = scored.filter(|(score, _)| *score >= MIN_SIMILARITY);
    similar.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, known)| known)
}

/// The message on an unknown name; `what` says whether it is a key or a table.
pub(super) fn unknown_name<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    match nearest(name, known) {
        Some(nearest) => format!("{name}: no such {what}; did you mean {nearest}?"),
        None => format!("{name}: no such {what}"),
    }
}
