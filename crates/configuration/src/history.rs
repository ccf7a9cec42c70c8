//! The values that the latest versions of a source replaced, bounded in number of versions and in bytes.
//!
//! The values that a version *set* are not stored: a delta across several versions takes the current value of each
//! entry, or its removal, so it contains an entry at most once, however often the entry changed.

use crate::entry::Key;
use std::collections::{BTreeMap, VecDeque};

/// Bounds of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryBounds {
    /// Maximum number of versions.
    pub versions: usize,
    /// Maximum bytes of all names and values, including the memory overhead of the entries.
    pub bytes: usize,
}

impl Default for HistoryBounds {
    /// Returns bounds for two and a half days at 1,600 changes a day, and for the bytes of several full documents.
    fn default() -> HistoryBounds {
        HistoryBounds { versions: 4_096, bytes: 32 * 1024 * 1024 }
    }
}

/// Entries and their values before a change; `None` for an entry that did not exist.
pub type PreviousValues = BTreeMap<Key, Option<Box<str>>>;

/// The values that one version replaced.
#[derive(Debug)]
struct ReplacedValues {
    values: PreviousValues,
    bytes: usize,
}

/// The values that the latest versions replaced, oldest version first.
#[derive(Debug)]
pub struct History {
    bounds: HistoryBounds,
    versions: VecDeque<ReplacedValues>,
    bytes: usize,
}

/// Memory overhead of an entry besides its texts, bytes: the key, the value and their slots in the map.
const ENTRY_OVERHEAD_BYTES: usize = 64;

fn entry_bytes((key, value): (&Key, &Option<Box<str>>)) -> usize {
    key.name.len() + value.as_ref().map_or(0, |value| value.len()) + ENTRY_OVERHEAD_BYTES
}

impl History {
    /// Creates an empty history.
    pub fn new(bounds: HistoryBounds) -> History {
        History { bounds, versions: VecDeque::new(), bytes: 0 }
    }

    /// Adds the values that a new version replaced, and drops the oldest versions beyond the bounds.
    pub fn push(&mut self, values: PreviousValues) {
        let bytes = values.iter().map(entry_bytes).sum();
        self.bytes += bytes;
        self.versions.push_back(ReplacedValues { values, bytes });
        while self.versions.len() > self.bounds.versions || self.bytes > self.bounds.bytes {
            let Some(oldest) = self.versions.pop_front() else { break };
            self.bytes -= oldest.bytes;
        }
    }

    /// Returns all entries that the last `versions` versions changed, with their values before those versions; `None`
    /// if the history has fewer versions.
    pub fn previous_values(&self, versions: u64) -> Option<PreviousValues> {
        let versions = usize::try_from(versions).ok()?;
        let first = self.versions.len().checked_sub(versions)?;
        let mut earliest = PreviousValues::new();
        for replaced in self.versions.iter().skip(first) {
            for (key, value) in &replaced.values {
                if !earliest.contains_key(key) {
                    earliest.insert(key.clone(), value.clone());
                }
            }
        }
        Some(earliest)
    }

    /// Returns the number of versions in the history.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Returns whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Returns the size of the history, bytes, including the memory overhead of the entries.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
