//! The ids of backends that were removed from the endpoint list.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};

/// Maximum number of ids kept. The largest list planned for, 11,000 backends, may be replaced at once. At 100 bytes
/// an id, the maximum takes about 4 MB.
const MAX_RETIRED_IDS: usize = 16_384;

/// The ids of the most recently removed backends, which operators may still name.
#[derive(Default)]
pub(crate) struct RetiredBackends {
    /// The ids in the order of their removal.
    by_departure: BTreeMap<u64, String>,
    /// The key of each id in `by_departure`.
    departures: HashMap<String, u64>,
    next_departure: u64,
}

impl RetiredBackends {
    /// Adds an id as the most recently removed one, even if it had been removed before. Beyond the limit, drops the one
    /// that was removed first.
    pub(crate) fn add(&mut self, name: &str) {
        let departure = self.next_departure;
        self.next_departure += 1;
        if let Some(earlier) = self.departures.insert(name.into(), departure) {
            self.by_departure.remove(&earlier);
        }
        self.by_departure.insert(departure, name.into());
        if self.by_departure.len() <= MAX_RETIRED_IDS {
            return;
        }
        if let Some((_, forgotten)) = self.by_departure.pop_first() {
            self.departures.remove(&forgotten);
        }
    }

    /// Returns whether the id is kept.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.departures.contains_key(name)
    }
}
