//! The error of reading an experiment.

use crate::fault_proxy::script::ScriptError;
use thiserror::Error;

/// Why an experiment cannot be run.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file is not valid TOML or not an experiment; the error says where.
    #[error("{0}: {1}")]
    Malformed(String, toml::de::Error),
    /// An injury is invalid.
    #[error(transparent)]
    Injury(#[from] ScriptError),
    /// A value is invalid.
    #[error("{0}: {1}: expected {2}")]
    Value(String, String, &'static str),
}
