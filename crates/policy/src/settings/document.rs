//! Reads values out of a JSON document and records the faults in them.

use super::faults::{Fault, Faults};
use crate::api::Micros;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeSet;

/// Maximum number of characters of an invalid value that a fault shows, as a value may be large.
const MAX_SHOWN_VALUE: usize = 60;

/// A value of the document, with its path. A fault is recorded and reading continues with a default, so that
/// all faults are reported at once.
pub(super) struct DocumentKey<'a> {
    path: String,
    value: Option<&'a Value>,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> DocumentKey<'a> {
    /// Returns the member `name` of this value.
    pub(super) fn get(&self, name: &str) -> DocumentKey<'a> {
        let path = if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) };
        DocumentKey { path, value: self.value.and_then(|v| v.get(name)), faults: self.faults }
    }

    /// Returns whether the document has this key.
    pub(super) fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Records the fault that the value of this key is not `expected`.
    pub(super) fn record_fault(&self, expected: &str) {
        let shorten = |value: &Value| value.to_string().chars().take(MAX_SHOWN_VALUE).collect();
        self.faults.borrow_mut().push(Fault {
            key: self.path.clone(),
            expected: expected.into(),
            got: self.value.map(shorten),
        });
    }

    /// Returns the parsed value, or records a fault and returns a default if there is none.
    pub(super) fn require<T: Default>(&self, parsed: Option<T>, expected: &str) -> T {
        parsed.unwrap_or_else(|| {
            self.record_fault(expected);
            T::default()
        })
    }

    /// Returns the value if it is a string.
    pub(super) fn as_text(&self) -> Option<&'a str> {
        self.value.and_then(Value::as_str)
    }

    /// Returns the value if it is an unsigned integer.
    pub(super) fn as_u64(&self) -> Option<u64> {
        self.value.and_then(Value::as_u64)
    }

    pub(super) fn text(&self) -> &'a str {
        self.require(self.as_text(), "text")
    }

    pub(super) fn boolean(&self) -> bool {
        self.require(self.value.and_then(Value::as_bool), "true or false")
    }

    pub(super) fn float(&self) -> f64 {
        self.require(self.value.and_then(Value::as_f64), "a number")
    }

    pub(super) fn micros(&self) -> Micros {
        self.require(self.as_u64().map(Micros), "whole microseconds")
    }

    pub(super) fn count(&self) -> u32 {
        let parsed = self.as_u64().and_then(|number| u32::try_from(number).ok());
        self.require(parsed, "a whole number")
    }

    pub(super) fn list(&self) -> Vec<DocumentKey<'a>> {
        let items = self.value.and_then(Value::as_array).map(|items| items.as_slice());
        let items = self.require(items, "an array");
        let mut keys = Vec::with_capacity(items.len());
        for (index, value) in items.iter().enumerate() {
            let path = format!("{}[{index}]", self.path);
            keys.push(DocumentKey { path, value: Some(value), faults: self.faults });
        }
        keys
    }
}

/// Reads a document with `read`, which records faults; unknown keys are ignored.
pub(super) fn read_document<T>(
    document: &Value, read: impl FnOnce(&DocumentKey<'_>) -> T,
) -> Result<T, Faults> {
    let recorded = RefCell::default();
    let result = read(&DocumentKey { path: String::new(), value: Some(document), faults: &recorded });
    let mut faults: Vec<Fault> = recorded.into_inner();
    // A key that is read twice is reported once.
    let mut seen = BTreeSet::new();
    faults.retain(|fault| seen.insert((fault.key.clone(), fault.expected.clone())));
    if faults.is_empty() {
        Ok(result)
    } else {
        Err(Faults(faults))
    }
}
