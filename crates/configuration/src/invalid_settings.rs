//! The error of the program's own checks of the settings of a version.

use thiserror::Error;

/// The reason why the settings of a document are not valid, worded by the program that checked them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct InvalidSettings(String);

impl InvalidSettings {
    /// Creates the error with this reason.
    pub fn new(reason: impl Into<String>) -> InvalidSettings {
        InvalidSettings(reason.into())
    }
}
