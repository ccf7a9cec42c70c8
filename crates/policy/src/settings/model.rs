//! All settings of an instance.

use super::faults::{Fault, Faults};
use super::names::Names;
use super::network::NetworkSettings;
use super::wire;
use crate::api::{Config, ConfigError};
use serde_json::Value;

/// All settings, read and validated together, and immutable.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The configuration of the decision module.
    pub config: Config,
    /// The names that belong to its ids.
    pub names: Names,
    /// The settings for sockets.
    pub network: NetworkSettings,
}

impl Settings {
    /// Reads all settings, or none if any is invalid.
    ///
    /// # Errors
    /// Returns all faults found while reading or, if there are none, the first value out of range.
    pub fn read(document: &Value) -> Result<Settings, Faults> {
        let (config, names, network) = wire::read_all(document)?;
        config.validate().map_err(|error| Faults(vec![out_of_range(&error)]))?;
        Ok(Settings { config, names, network })
    }
}

fn out_of_range(error: &ConfigError) -> Fault {
    Fault { key: error.field.into(), expected: error.expected.into(), got: Some("none such".into()) }
}
