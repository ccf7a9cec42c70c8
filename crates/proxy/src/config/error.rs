//! Why there is no usable configuration.

use lotusdeck_policy::settings::Faults;
use thiserror::Error;

/// Why there is no usable configuration.
#[derive(Debug, Error)]
pub enum NodeConfigError {
    /// The file cannot be read.
    #[error("cannot read {file}: {source}")]
    Unreadable {
        /// Its path.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// It is no JSON, or not of this form.
    #[error("{file}: {source}")]
    Malformed {
        /// Its path.
        file: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// Its settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] Faults),
    /// The policy does not accept them.
    #[error("settings: {0}")]
    Unsound(#[from] lotusdeck_policy::ConfigError),
    /// The seed is no number.
    #[error("seed: expected a number or up to 16 hex digits")]
    Seed,
    /// It lacks a key that the configuration in force has.
    #[error("{0}: missing, though what is in force has it")]
    Missing(String),
}
