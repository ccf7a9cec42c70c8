//! The verdict of the program's own checks on the settings of a version.

use thiserror::Error;

/// Why settings that a document stands for are not valid, in the words of the program that checked them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct InvalidSettings(String);

impl InvalidSettings {
    /// The verdict with this reason.
    pub fn new(reason: impl Into<String>) -> InvalidSettings {
        InvalidSettings(reason.into())
    }
}
