//! A solution in progress: the sums that the stages of the solver compute.

use crate::api::{BackendId, KindId, ZoneId};
use crate::picker::PickTables;
use std::collections::BTreeMap;

/// Maximum share of ejected backends. Beyond it the ejected ones are used again, as the backends themselves
/// are unlikely to cause failures of that extent.
pub(super) const MAX_EJECTED_SHARE: f64 = 0.5;

/// The counts of the census stage.
#[derive(Default)]
pub(super) struct FleetCensus {
    /// Backends that the endpoint list and the operators allow to receive requests.
    pub listed: f64,
    /// Number of ejected backends among them.
    pub ejected: f64,
    /// Their error rates, without those that are zero.
    pub error_rates: Vec<f64>,
}

impl FleetCensus {
    /// Returns whether more than [`MAX_EJECTED_SHARE`] of the listed backends are ejected.
    pub(super) fn is_panicking(&self) -> bool {
        self.ejected > self.listed * MAX_EJECTED_SHARE
    }

    /// Returns the median error rate of the listed backends.
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
    /// Traffic share of the backends that the subset stage has visited.
    pub visited_share: f64,
}

/// A solution in progress. The picker uses the last complete one.
#[derive(Default)]
pub(super) struct Solution {
    pub census: FleetCensus,
    pub kinds: BTreeMap<KindId, KindTotals>,
    /// Share of the traffic of all proxies that the backends of a zone get.
    pub zone_shares: BTreeMap<ZoneId, f64>,
    /// Number of backends that get a part of this proxy's traffic.
    pub reachable: f64,
    pub tables: PickTables,
    /// Number of ready backends that are ejected for a class, by class.
    pub class_ejections: BTreeMap<usize, f64>,
}

impl Solution {
    /// Resets the solution, reusing the memory of the tables.
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
