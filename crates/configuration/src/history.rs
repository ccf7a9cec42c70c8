//! The last versions of a source, as what each replaced, bounded in number and bytes.
//!
//! What a version *set* need not be kept: a delta that spans versions takes each entry's present value, or its
//! absence, so that it carries an entry once, however often it was changed.

use crate::document::Key;
use std::collections::{BTreeMap, VecDeque};

/// Bounds of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryBounds {
    /// Versions.
    pub versions: usize,
    /// Bytes of all names and values kept, and of what keeps them.
    pub bytes: usize,
}

impl Default for HistoryBounds {
    /// Two and a half days at 1,600 changes a day, and a few whole documents' bytes.
    fn default() -> HistoryBounds {
        HistoryBounds { versions: 4_096, bytes: 32 * 1024 * 1024 }
    }
}

/// Entries and the values that stood there; `None` where there was no such entry.
pub type PreviousValues = BTreeMap<Key, Option<Box<str>>>;

/// What a version replaced.
#[derive(Debug)]
struct Replaced {
    former: PreviousValues,
    bytes: usize,
}

/// What the last versions replaced, the latest last.
#[derive(Debug)]
pub struct History {
    bounds: HistoryBounds,
    replaced: VecDeque<Replaced>,
    bytes: usize,
}

/// Bytes that an entry holds beside its texts: key, value and their places in the map.
const PER_ENTRY: usize = 64;

impl History {
    /// Of no version yet.
    pub fn new(bounds: HistoryBounds) -> History {
        History { bounds, replaced: VecDeque::new(), bytes: 0 }
    }

    /// One more version replaced these; the oldest are dropped beyond the bounds.
    pub fn push(&mut self, former: PreviousValues) {
        let text = |(key, value): (&Key, &Option<Box<str>>)| {
            key.name.len() + value.as_ref().map_or(0, |value| value.len()) + PER_ENTRY
        };
        let bytes = former.iter().map(text).sum();
        self.bytes += bytes;
        self.replaced.push_back(Replaced { former, bytes });
        while self.replaced.len() > self.bounds.versions || self.bytes > self.bounds.bytes {
            let Some(oldest) = self.replaced.pop_front() else { break };
            self.bytes -= oldest.bytes;
        }
    }

    /// What the last `versions` versions replaced, each entry with the value before all of them; `None` where so many
    /// are not kept.
    pub fn previous_values(&self, versions: u64) -> Option<PreviousValues> {
        let versions = usize::try_from(versions).ok()?;
        let first = self.replaced.len().checked_sub(versions)?;
        let mut all = PreviousValues::new();
        for replaced in self.replaced.iter().skip(first) {
            for (key, value) in &replaced.former {
                if !all.contains_key(key) {
                    all.insert(key.clone(), value.clone());
                }
            }
        }
        Some(all)
    }

    /// Versions kept.
    pub fn len(&self) -> usize {
        self.replaced.len()
    }

    /// None is kept.
    pub fn is_empty(&self) -> bool {
        self.replaced.is_empty()
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
