//! The ids of backends that have left the endpoint list.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};

/// Ids remembered at most. The largest list planned for, 11,000 backends, may be replaced at once; at 100 bytes an id
/// these take some 4 MB.
const MAX_RETIRED_IDS: usize = 16_384;

/// The ids of the backends that left last: operators may still name them.
#[derive(Default)]
pub(crate) struct RetiredBackends {
    /// Ids in the order in which they left.
    by_departure: BTreeMap<u64, String>,
    /// The key in `by_departure` of each id.
    departures: HashMap<String, u64>,
    next_departure: u64,
}

impl RetiredBackends {
    /// Adds an id as the latest that left, whether or not it had left before; beyond the limit the earliest is
    /// forgotten.
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

    /// Whether the id is remembered.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.departures.contains_key(name)
    }
}
