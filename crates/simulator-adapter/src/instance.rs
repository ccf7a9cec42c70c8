//! One simulated proxy.

use lotusdeck_policy::settings::{self, Faults, Names};
use lotusdeck_policy::{BackendId, Balancer, ConfigError};
use serde_json::Value;
use std::collections::HashMap;
use thiserror::Error;

/// Why no proxy can be made of its settings.
#[derive(Debug, Error)]
pub(crate) enum SettingsError {
    /// Keys are missing or make no sense.
    #[error(transparent)]
    Unreadable(#[from] Faults),
    /// They are well formed but no sound configuration.
    #[error(transparent)]
    Unsound(#[from] ConfigError),
}

/// One simulated proxy: its decisions, and its own numbers of backends.
pub(crate) struct Instance {
    pub(crate) balancer: Balancer,
    pub(crate) names: Names,
    ids: HashMap<String, BackendId>,
    addresses: Vec<String>,
}

impl Instance {
    /// A proxy that knows nothing yet but its settings.
    ///
    /// # Errors
    /// The settings are not sound.
    pub(crate) fn new(settings: &Value, seed: u64) -> Result<Instance, SettingsError> {
        let (config, names) = settings::read(settings)?;
        let balancer = Balancer::new(config, seed)?;
        Ok(Instance { balancer, names, ids: HashMap::new(), addresses: Vec::new() })
    }

    /// The number of the backend at that address, given here where it is new.
    pub(crate) fn backend_id(&mut self, address: &str) -> BackendId {
        if let Some(id) = self.ids.get(address) {
            return *id;
        }
        let id = BackendId(self.addresses.len() as u32);
        self.ids.insert(address.to_owned(), id);
        self.addresses.push(address.to_owned());
        id
    }

    /// The address of a backend that this proxy has numbered.
    pub(crate) fn address(&self, id: BackendId) -> &str {
        &self.addresses[id.0 as usize]
    }
}
