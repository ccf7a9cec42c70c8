//! Errors in the node configuration.

use lotusdeck_policy::settings::Faults;
use thiserror::Error;

/// Why a node configuration cannot be used.
#[derive(Debug, Error)]
pub enum NodeConfigError {
    /// The file cannot be read.
    #[error("cannot read {file}: {source}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not JSON, or not of the expected form.
    #[error("{file}: {source}")]
    Malformed {
        /// The path of the file.
        file: String,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] Faults),
    /// A setting is outside the range that the decision module accepts.
    #[error("settings: {0}")]
    OutOfRange(#[from] lotusdeck_policy::ConfigError),
    /// The seed is not a number.
    #[error("seed: expected a number or up to 16 hex digits")]
    Seed,
    /// A key of the active configuration is missing in the new one.
    #[error("{0}: missing, but present in the active configuration")]
    Missing(String),
}
