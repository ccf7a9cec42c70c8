//! The full list as this proxy last had it, merged from discovery's changes, so that it can outlive the process.

use crate::endpoint_list::{entry_name, is_removal, EndpointList, MAX_ENTRIES};
use serde_json::Value;
use std::collections::BTreeMap;
use tracing::warn;

/// Names cached at most: a full list and changes that name as many more. Each change may name others, so that without
/// a bound discovery could make the list grow without end.
const MAX_NAMES: usize = 2 * MAX_ENTRIES;

/// The full list as this proxy last had it.
#[derive(Default)]
pub struct CachedEndpointList {
    version: u64,
    /// The entries by name.
    entries: BTreeMap<String, Value>,
    /// Changed since it was last handed out.
    changed: bool,
    /// Names were left out for the bound: what is cached is not the full list, and is not handed out.
    truncated: bool,
}

impl CachedEndpointList {
    /// Begins with the list that the proxy starts with; that one is saved or handed over already, so it is not handed
    /// out again until discovery sends something.
    pub fn new(list: &EndpointList) -> CachedEndpointList {
        let mut cached = CachedEndpointList::default();
        cached.apply(list.clone());
        cached.changed = false;
        cached
    }

    /// Applies a list: a full one in place of what is cached, or changes over it. Entries without a name are not
    /// applied anywhere; one that is removed leaves. The entries are moved, not copied.
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

    /// The full list, where it changed since the last call and is complete.
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
