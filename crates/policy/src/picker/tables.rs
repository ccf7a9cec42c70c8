//! Tables for picking a backend by its weight, stored as cumulative sums.

use crate::api::{BackendId, KindId};
use std::collections::BTreeMap;

/// A backend and the sum of the weights up to and including its own.
struct Candidate {
    cumulative_weight: f64,
    backend: BackendId,
}

/// The ready backends of each kind.
#[derive(Default)]
pub(crate) struct PickTables {
    by_kind: BTreeMap<KindId, Vec<Candidate>>,
}

impl PickTables {
    /// Returns whether there is no ready backend.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_kind.is_empty()
    }

    /// Returns the number of ready backends.
    pub(crate) fn len(&self) -> usize {
        self.by_kind.values().map(Vec::len).sum()
    }

    /// Returns the kinds that have a table.
    pub(super) fn kinds(&self) -> impl Iterator<Item = KindId> + '_ {
        self.by_kind.keys().copied()
    }

    /// Removes all backends but keeps the allocated memory of the tables.
    pub(crate) fn clear_entries(&mut self) {
        self.by_kind.values_mut().for_each(Vec::clear);
    }

    /// Removes the kinds without backends.
    pub(crate) fn drop_empty(&mut self) {
        self.by_kind.retain(|_, candidates| !candidates.is_empty());
    }

    /// Appends a backend to the table of its kind.
    pub(crate) fn push(&mut self, kind: KindId, backend: BackendId, weight: f64) {
        let candidates = self.by_kind.entry(kind).or_default();
        let sum = candidates.last().map_or(0.0, |last| last.cumulative_weight);
        candidates.push(Candidate { cumulative_weight: sum + weight, backend });
    }

    /// Returns the backend at the fraction `unit`, in [0, 1), of the kind's total weight; `None` if the kind
    /// has none.
    pub(super) fn pick(&self, kind: KindId, unit: f64) -> Option<BackendId> {
        let candidates = self.by_kind.get(&kind)?;
        let last = candidates.last()?;
        let point = unit * last.cumulative_weight;
        let index = candidates.partition_point(|c| c.cumulative_weight <= point).min(candidates.len() - 1);
        Some(candidates[index].backend)
    }
}
