//! The keys of a configuration, kept to find those that a new one lacks.

use serde_json::Value;
use std::collections::BTreeMap;

/// Keys that new settings may lack.
const OPTIONAL_KEYS: [&str; 2] = ["family_info", "fleet"];

/// The keys of an object and of the objects nested in it, without values: arrays of tens of thousands of entries take
/// no memory here.
#[derive(Default)]
pub(super) struct Keys {
    by_name: BTreeMap<String, Keys>,
}

impl Keys {
    pub(super) fn of(value: &Value) -> Keys {
        Keys::of_members(value.as_object().into_iter().flatten())
    }

    /// Collects the keys of an object with these members.
    pub(super) fn of_members<'a>(members: impl Iterator<Item = (&'a String, &'a Value)>) -> Keys {
        Keys { by_name: members.map(|(key, value)| (key.clone(), Keys::of(value))).collect() }
    }

    /// Returns the path of the first of these keys that `new` lacks. A file that was cut off or half edited may still
    /// parse and contain everything that this program reads, while other programs that read it would miss the rest.
    pub(super) fn first_missing_in(&self, new: &Value) -> Option<String> {
        self.first_missing_below("", new)
    }

    fn first_missing_below(&self, parent: &str, new: &Value) -> Option<String> {
        for (key, inner) in &self.by_name {
            if OPTIONAL_KEYS.contains(&key.as_str()) {
                continue;
            }
            let path = if parent.is_empty() { key.clone() } else { format!("{parent}.{key}") };
            let Some(value) = new.get(key) else { return Some(path) };
            if let Some(missing) = inner.first_missing_below(&path, value) {
                return Some(missing);
            }
        }
        None
    }
}
