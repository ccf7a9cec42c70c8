//! The tables that a backend is looked up in: weights as running sums.

use crate::api::{BackendId, KindId};
use std::collections::BTreeMap;

/// A backend with the sum of the weights up to it, its own included.
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
    /// There is no ready backend.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_kind.is_empty()
    }

    /// How many backends are ready.
    pub(crate) fn len(&self) -> usize {
        self.by_kind.values().map(Vec::len).sum()
    }

    /// The kinds with tables.
    pub(super) fn kinds(&self) -> impl Iterator<Item = KindId> + '_ {
        self.by_kind.keys().copied()
    }

    /// Removes all backends, keeping the memory of the tables.
    pub(crate) fn clear_entries(&mut self) {
        self.by_kind.values_mut().for_each(Vec::clear);
    }

    /// Removes the kinds without backends.
    pub(crate) fn drop_empty(&mut self) {
        self.by_kind.retain(|_, candidates| !candidates.is_empty());
    }

    /// Adds a backend behind the others of its kind.
    pub(crate) fn push(&mut self, kind: KindId, backend: BackendId, weight: f64) {
        let candidates = self.by_kind.entry(kind).or_default();
        let sum = candidates.last().map_or(0.0, |last| last.cumulative_weight);
        candidates.push(Candidate { cumulative_weight: sum + weight, backend });
    }

    /// The backend at a point of the kind's weights: `unit` is from 0 up to 1. `None` where there is none.
    pub(super) fn pick(&self, kind: KindId, unit: f64) -> Option<BackendId> {
        let candidates = self.by_kind.get(&kind)?;
        let last = candidates.last()?;
        let point = unit * last.cumulative_weight;
        let index = candidates.partition_point(|c| c.cumulative_weight <= point).min(candidates.len() - 1);
        Some(candidates[index].backend)
    }
}
