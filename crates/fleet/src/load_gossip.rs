//! Gossip of the load of each proxy. A proxy keeps the newest report of each member: a last-writer-wins map, the
//! simplest CRDT. Merging is commutative, associative and idempotent, so reordering, loss and duplication of
//! datagrams only affect the age of the reports.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Age at which a report stops counting. A report reaches a thousand proxies in several rounds of gossip.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Maximum number of reports in a datagram. Each takes up to 14 bytes at realistic values.
pub const MAX_REPORTS_PER_DATAGRAM: usize = 80;

/// The load of one member. Datagrams contain it, so the order of its fields is fixed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Index of the member in the fleet.
    pub proxy_index: u32,
    /// Increases with every report, also across restarts: the member's generation plus the time since its start in us.
    pub reported_at: u64,
    /// Attempts in flight at the member.
    pub in_flight: u32,
}

/// Ages of the reports of the other members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportAges {
    /// Mean age of all known reports.
    pub mean: Duration,
    /// Age of the oldest report.
    pub max: Duration,
}

struct ReceivedReport {
    report: LoadReport,
    /// Time of receipt by this proxy's clock, as clocks of different proxies are not compared.
    received_at: Duration,
}

impl ReceivedReport {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Returns whether the report is of another member and recent enough to count.
    fn is_counted(&self, now: Duration, own_index: u32) -> bool {
        self.report.proxy_index != own_index && self.age(now) < MAX_REPORT_AGE
    }
}

/// The latest report of each member.
#[derive(Default)]
pub struct LoadGossip {
    reports: BTreeMap<u32, ReceivedReport>,
    /// Index at which the next datagram continues if not all reports fit into one.
    next_index: u32,
}

impl LoadGossip {
    /// Stores a report if it is newer than the one known of the same member. Returns whether it is newer.
    pub fn merge(&mut self, now: Duration, report: LoadReport) -> bool {
        let known = self.reports.get(&report.proxy_index);
        let is_newer = known.is_none_or(|known| report.reported_at > known.report.reported_at);
        if is_newer {
            self.reports.insert(report.proxy_index, ReceivedReport { report, received_at: now });
        }
        is_newer
    }

    /// Returns the reports for one datagram: `own`, then as many recent reports of other members as fit. The next call
    /// continues with the members after these.
    pub fn reports_to_send(&mut self, now: Duration, own: LoadReport) -> Vec<LoadReport> {
        let rotated = self.reports.range(self.next_index..).chain(self.reports.range(..self.next_index));
        let others = rotated
            .map(|(_, known)| known)
            .filter(|known| known.is_counted(now, own.proxy_index))
            .map(|known| known.report)
            .take(MAX_REPORTS_PER_DATAGRAM - 1);
        let reports: Vec<LoadReport> = std::iter::once(own).chain(others).collect();
        self.next_index = reports.last().map_or(0, |report| report.proxy_index.wrapping_add(1));
        reports
    }

    /// Returns the total load of the other proxies in a fleet of `fleet_size`. Proxies without a recent report count
    /// as the mean of those with one, because a proxy behind a broken link still serves requests. Returns `None` if
    /// there is no recent report.
    pub fn others_in_flight(&self, now: Duration, own_index: u32, fleet_size: u32) -> Option<f64> {
        let mut count = 0u32;
        let mut sum = 0.0;
        for known in self.reports.values().filter(|known| known.is_counted(now, own_index)) {
            count += 1;
            sum += f64::from(known.report.in_flight);
        }
        let others = f64::from(fleet_size.saturating_sub(1).max(count));
        (count > 0).then(|| sum * others / f64::from(count))
    }

    /// Returns the ages of the other members' reports, counted from their receipt by this proxy.
    pub fn report_ages(&self, now: Duration, own_index: u32) -> ReportAges {
        let others = self.reports.values().filter(|known| known.report.proxy_index != own_index);
        let ages: Vec<Duration> = others.map(|known| known.age(now)).collect();
        let count = u32::try_from(ages.len()).unwrap_or(u32::MAX).max(1);
        ReportAges {
            mean: ages.iter().sum::<Duration>() / count,
            max: ages.iter().max().copied().unwrap_or_default(),
        }
    }
}

#[cfg(test)]
mod tests;
