//! A solution in progress: what the stages of the solver add up.

use crate::api::{BackendId, KindId, ZoneId};
use crate::picker::PickTables;
use std::collections::BTreeMap;

/// Backends are ejected up to this share: beyond it all are used after all, as then the backends are not at
/// fault.
pub(super) const MAX_EJECTED_SHARE: f64 = 0.5;

/// What the first stage counts.
#[derive(Default)]
pub(super) struct FleetCensus {
    /// Backends that may be sent requests by the list and the operators.
    pub listed: f64,
    /// How many of them are ejected.
    pub ejected: f64,
    /// Their error rates above zero.
    pub error_rates: Vec<f64>,
}

impl FleetCensus {
    /// Too many backends are ejected.
    pub(super) fn is_panicking(&self) -> bool {
        self.ejected > self.listed * MAX_EJECTED_SHARE
    }

    /// The median error rate of the listed backends.
    pub(super) fn median_error_rate(&mut self) -> f64 {
        let listed = self.listed as usize;
        let with_errors = self.error_rates.len();
        let median_index = listed.saturating_sub(1) / 2;
        match median_index.checked_sub(listed - with_errors) {
            Some(index) if index < with_errors => {
                *self.error_rates.select_nth_unstable_by(index, f64::total_cmp).1
            }
            _ => 0.0,
        }
    }
}

/// Sums over the backends of a kind.
#[derive(Default)]
pub(super) struct KindTotals {
    pub readiness: f64,
    pub traffic_share: f64,
    /// The traffic share of the backends that the subset stage has passed.
    pub passed_share: f64,
}

/// A solution in progress. Picks go by the last complete one.
#[derive(Default)]
pub(super) struct Solution {
    pub census: FleetCensus,
    pub kinds: BTreeMap<KindId, KindTotals>,
    /// The share of all traffic that the backends of a zone get.
    pub zone_shares: BTreeMap<ZoneId, f64>,
    /// Backends that get a part of this proxy's traffic.
    pub reachable: f64,
    pub tables: PickTables,
    /// By class: ready backends that are ejected for it.
    pub class_ejections: BTreeMap<usize, f64>,
}

impl Solution {
    /// An empty one that uses the memory of the former tables again.
    pub(super) fn restart(&mut self) {
        let mut tables = std::mem::take(&mut self.tables);
        tables.clear_entries();
        *self = Solution { tables, ..Solution::default() };
    }

    /// Adds a ready backend to the table of its kind.
    pub(super) fn add_candidate(&mut self, kind: KindId, backend: BackendId, weight: f64) {
        self.tables.push(kind, backend, weight);
    }
}
