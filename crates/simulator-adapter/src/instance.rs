//! One simulated proxy.

use lotusdeck_policy::settings::{self, Faults, Names};
use lotusdeck_policy::{BackendId, Balancer, ConfigError};
use serde_json::Value;
use std::collections::HashMap;
use thiserror::Error;

/// Why settings are rejected.
#[derive(Debug, Error)]
pub(crate) enum SettingsError {
    /// Keys are missing or invalid.
    #[error(transparent)]
    Invalid(#[from] Faults),
    /// A value of the configuration is out of range.
    #[error(transparent)]
    OutOfRange(#[from] ConfigError),
}

/// One simulated proxy: its balancer, and the backend ids that it assigned.
pub(crate) struct Instance {
    pub(crate) balancer: Balancer,
    pub(crate) names: Names,
    backend_ids: HashMap<String, BackendId>,
    addresses: Vec<String>,
}

impl Instance {
    /// Creates a proxy without backends from its settings.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub(crate) fn new(settings: &Value, seed: u64) -> Result<Instance, SettingsError> {
        let (config, names) = settings::read(settings)?;
        let balancer = Balancer::new(config, seed)?;
        Ok(Instance { balancer, names, backend_ids: HashMap::new(), addresses: Vec::new() })
    }

    /// Returns the id of the backend at an address, which is assigned if the address is new.
    pub(crate) fn backend_id(&mut self, address: &str) -> BackendId {
        if let Some(id) = self.backend_ids.get(address) {
            return *id;
        }
        let id = BackendId(self.addresses.len() as u32);
        self.backend_ids.insert(address.to_owned(), id);
        self.addresses.push(address.to_owned());
        id
    }

    /// Returns the address of a backend whose id this proxy assigned.
    pub(crate) fn address(&self, id: BackendId) -> &str {
        &self.addresses[id.0 as usize]
    }
}
