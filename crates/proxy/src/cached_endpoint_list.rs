//! The full list as this proxy last received it, with later changes merged in, kept so that it survives a restart.

use crate::endpoint_list::{entry_name, is_removal, EndpointList, MAX_ENTRIES};
use serde_json::Value;
use std::collections::BTreeMap;
use tracing::warn;

/// Maximum number of names cached: those of a full list and of changes that name as many more. Each change may name
/// other backends, so that the cache would otherwise grow without bound.
const MAX_NAMES: usize = 2 * MAX_ENTRIES;

/// The full list as this proxy last received it.
#[derive(Default)]
pub struct CachedEndpointList {
    version: u64,
    /// The entries by the name of their backend.
    entries: BTreeMap<String, Value>,
    /// Whether the list has changed since it was last returned.
    changed: bool,
    /// Whether names beyond the bound were dropped: what is cached is then not the full list, and is not returned.
    truncated: bool,
}

impl CachedEndpointList {
    /// Creates a cache of the list that the proxy starts with. That list is already saved or handed over, so nothing
    /// is returned until discovery sends an update.
    pub fn new(list: &EndpointList) -> CachedEndpointList {
        let mut cached = CachedEndpointList::default();
        cached.apply(list.clone());
        cached.changed = false;
        cached
    }

    /// Applies a list: a full one replaces what is cached, changes are merged into it. Entries without a name are
    /// skipped, as elsewhere, and removed ones deleted. The entries are moved, not copied.
    pub fn apply(&mut self, list: EndpointList) {
        if list.snapshot {
            self.entries.clear();
            self.truncated = false;
        }
        for entry in list.endpoints {
            let Some(name) = entry_name(&entry).map(str::to_string) else { continue };
            if is_removal(&entry) {
                self.entries.remove(&name);
            } else if self.entries.len() < MAX_NAMES || self.entries.contains_key(&name) {
                self.entries.insert(name, entry);
            } else if !std::mem::replace(&mut self.truncated, true) {
                warn!(most = MAX_NAMES, "discovery names more backends than are kept across restarts");
            }
        }
        self.version = list.version;
        self.changed = true;
    }

    /// Returns the full list if it has changed since the last call and is complete.
    pub fn take_changed(&mut self) -> Option<EndpointList> {
        if !std::mem::replace(&mut self.changed, false) || self.truncated {
            return None;
        }
        let endpoints = self.entries.values().cloned().collect();
        Some(EndpointList { version: self.version, snapshot: true, endpoints })
    }
}

#[cfg(test)]
mod tests;
