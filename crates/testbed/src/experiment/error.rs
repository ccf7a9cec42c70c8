//! Why an experiment cannot be played.

use crate::fault_proxy::script::ScriptError;
use thiserror::Error;

/// Why an experiment cannot be played.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no TOML, or not of this form; the text says where.
    #[error("{0}: {1}")]
    Malformed(String, toml::de::Error),
    /// An injury makes no sense.
    #[error(transparent)]
    Injury(#[from] ScriptError),
    /// A value makes no sense.
    #[error("{0}: {1}: expected {2}")]
    Value(String, String, &'static str),
}
