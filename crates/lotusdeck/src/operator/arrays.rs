//! What the arrays of tables, `[[postgres]]` and `[[limit]]`, are read with.

use super::Fault;
use serde::de::DeserializeOwned;

/// Something that has to be so in a section.
pub(super) struct Expectation {
    /// Whether it is.
    pub is_met: bool,
    /// What is expected, in words.
    pub message: &'static str,
}

impl Expectation {
    /// The message of the first that is not met.
    pub(super) fn first_failed(all: &[Expectation]) -> Option<&'static str> {
        all.iter().find(|expectation| !expectation.is_met).map(|expectation| expectation.message)
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
