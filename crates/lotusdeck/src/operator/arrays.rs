//! What the arrays of tables, `[[postgres]]` and `[[limit]]`, are read with.

use super::Fault;
use serde::de::DeserializeOwned;

/// Something that has to hold for a section.
pub(super) struct Expectation {
    /// Whether it does.
    pub holds: bool,
    /// What is expected, in words.
    pub message: &'static str,
}

impl Expectation {
    /// The message of the first that does not hold.
    pub(super) fn first_failed(all: &[Expectation]) -> Option<&'static str> {
        all.iter().find(|expectation| !expectation.holds).map(|expectation| expectation.message)
    }
}

/// Reads the array `name` of the text of an operator file; `File` names the one field that it takes.
///
/// # Errors
/// What does not fit, and where.
pub(super) fn parse_array<File: DeserializeOwned>(text: &str, name: &str) -> Result<File, Fault> {
    toml::from_str(text).map_err(|error| Fault {
        offset: error.span().map_or(0, |span| span.start),
        message: format!("{name}: {}", error.message()),
    })
}
