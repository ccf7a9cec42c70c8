//! The values that the last versions of a source replaced, bounded in number and bytes.
//!
//! The values that a version *set* are not kept: a delta that spans several versions takes each entry's present value, or
//! its absence, so that it contains an entry once, however often the entry was changed.

use crate::entry::Key;
use std::collections::{BTreeMap, VecDeque};

/// Bounds of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryBounds {
    /// Versions.
    pub versions: usize,
    /// Bytes of all names and values, and of the entries' overhead in memory.
    pub bytes: usize,
}

impl Default for HistoryBounds {
    /// Two and a half days at 1,600 changes a day, and the bytes of a few full documents.
    fn default() -> HistoryBounds {
        HistoryBounds { versions: 4_096, bytes: 32 * 1024 * 1024 }
    }
}

/// Entries and their values before a change; `None` where the entry did not exist.
pub type PreviousValues = BTreeMap<Key, Option<Box<str>>>;

/// The values that one version replaced.
#[derive(Debug)]
struct ReplacedValues {
    values: PreviousValues,
    bytes: usize,
}

/// The values that the last versions replaced, the latest version last.
#[derive(Debug)]
pub struct History {
    bounds: HistoryBounds,
    versions: VecDeque<ReplacedValues>,
    bytes: usize,
}

/// Memory of an entry besides its texts, bytes: key, value and their places in the map.
const ENTRY_OVERHEAD_BYTES: usize = 64;

fn entry_bytes((key, value): (&Key, &Option<Box<str>>)) -> usize {
    key.name.len() + value.as_ref().map_or(0, |value| value.len()) + ENTRY_OVERHEAD_BYTES
}

impl History {
    /// An empty history.
    pub fn new(bounds: HistoryBounds) -> History {
        History { bounds, versions: VecDeque::new(), bytes: 0 }
    }

    /// Adds the values that one more version replaced, and drops the oldest versions beyond the bounds.
    pub fn push(&mut self, values: PreviousValues) {
        let bytes = values.iter().map(entry_bytes).sum();
        self.bytes += bytes;
        self.versions.push_back(ReplacedValues { values, bytes });
        while self.versions.len() > self.bounds.versions || self.bytes > self.bounds.bytes {
            let Some(oldest) = self.versions.pop_front() else { break };
            self.bytes -= oldest.bytes;
        }
    }

    /// All entries that the last `versions` versions changed, with their values before these versions; `None` where the
    /// history does not reach back so far.
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

    /// Number of versions kept.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no version is kept.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
