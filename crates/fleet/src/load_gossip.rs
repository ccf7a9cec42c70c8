//! The load of each proxy, known to all: one number a member, of which the newest wins (a last-writer-wins map, the
//! simplest CRDT). Merging is commutative, associative and idempotent, so that order, loss and duplication only affect
//! how old a number is.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// An older report is not counted: some rounds of gossip through a thousand proxies.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Reports in one datagram: 14 bytes each at most.
pub const MAX_REPORTS_PER_DATAGRAM: usize = 80;

/// The load of one member. It is a part of datagrams, so that the order of its fields is fixed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The member.
    pub proxy_index: u32,
    /// Rises with every report, also across restarts: the member's generation plus the time since its start, us.
    pub reported_at: u64,
    /// Attempts in flight.
    pub in_flight: u32,
}

/// How old the reports of the other members are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportAges {
    /// Over all known members.
    pub mean: Duration,
    /// Of the oldest report.
    pub max: Duration,
}

struct ReceivedReport {
    report: LoadReport,
    /// By this proxy's clock: clocks of different proxies are not compared.
    received_at: Duration,
}

impl ReceivedReport {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Whether it is another member's and recent enough to count.
    fn counts(&self, now: Duration, own_index: u32) -> bool {
        self.report.proxy_index != own_index && self.age(now) < MAX_REPORT_AGE
    }
}

/// The latest report of each member.
#[derive(Default)]
pub struct LoadGossip {
    reports: BTreeMap<u32, ReceivedReport>,
    /// The first member of the next datagram, where not all reports fit into one.
    next_index: u32,
}

impl LoadGossip {
    /// Adds a report; returns whether it is newer than the one known of this member.
    pub fn merge(&mut self, now: Duration, report: LoadReport) -> bool {
        let known = self.reports.get(&report.proxy_index);
        let is_newer = known.is_none_or(|known| report.reported_at > known.report.reported_at);
        if is_newer {
            self.reports.insert(report.proxy_index, ReceivedReport { report, received_at: now });
        }
        is_newer
    }

    /// The reports of one datagram: `own`, and as many recent ones of others as fit, in turn.
    pub fn reports_to_send(&mut self, now: Duration, own: LoadReport) -> Vec<LoadReport> {
        let in_turn = self.reports.range(self.next_index..).chain(self.reports.range(..self.next_index));
        let others = in_turn
            .map(|(_, known)| known)
            .filter(|known| known.counts(now, own.proxy_index))
            .map(|known| known.report)
            .take(MAX_REPORTS_PER_DATAGRAM - 1);
        let reports: Vec<LoadReport> = std::iter::once(own).chain(others).collect();
        self.next_index = reports.last().map_or(0, |report| report.proxy_index.wrapping_add(1));
        reports
    }

    /// The load of all other proxies of a fleet of `fleet_size` together. Those without a recent report count as the
    /// mean of those with one, as a proxy behind a broken link goes on working. `None` without any recent report.
    pub fn others_in_flight(&self, now: Duration, own_index: u32, fleet_size: u32) -> Option<f64> {
        let mut count = 0u32;
        let mut sum = 0.0;
        for known in self.reports.values().filter(|known| known.counts(now, own_index)) {
            count += 1;
            sum += f64::from(known.report.in_flight);
        }
        let others = f64::from(fleet_size.saturating_sub(1).max(count));
        (count > 0).then(|| sum * others / f64::from(count))
    }

    /// How old the reports of the other members are, since they were received here.
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
