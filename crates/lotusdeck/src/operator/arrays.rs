//! Parses the arrays of tables, `[[postgres]]` and `[[limit]]`.

use super::Fault;
use serde::de::DeserializeOwned;

/// A condition on a section.
pub(super) struct Expectation {
    /// Whether the condition holds.
    pub is_met: bool,
    /// What is expected, in words.
    pub message: &'static str,
}

impl Expectation {
    /// Returns the message of the first expectation that is not met.
    pub(super) fn first_failed(all: &[Expectation]) -> Option<&'static str> {
        all.iter().find(|expectation| !expectation.is_met).map(|expectation| expectation.message)
    }
}

/// Parses the array `name` in the text of an operator file. `File` is a struct with that one field.
///
/// # Errors
/// The first entry that does not fit, and its offset.
pub(super) fn parse_array<File: DeserializeOwned>(text: &str, name: &str) -> Result<File, Fault> {
    toml::from_str(text).map_err(|error| Fault {
        offset: error.span().map_or(0, |span| span.start),
        message: format!("{name}: {}", error.message()),
    })
}
