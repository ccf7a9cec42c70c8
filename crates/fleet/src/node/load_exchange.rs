//! Schedule of the load reports, and this proxy's own report.

use crate::load_gossip::{LoadGossip, LoadReport};
use crate::membership::Identity;
use std::time::Duration;

/// Interval at which a proxy sends the reports that it knows.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// The load reports of all members and this proxy's own load.
pub(super) struct LoadExchange {
    pub(super) gossip: LoadGossip,
    /// Attempts in flight at this proxy; `None` if it does not report them.
    in_flight: Option<u32>,
    started_at: Duration,
    next_report_at: Duration,
}

impl LoadExchange {
    /// Creates an exchange whose first reports are due at `now`, the start of the process.
    pub(super) fn new(now: Duration) -> LoadExchange {
        LoadExchange { gossip: LoadGossip::default(), in_flight: None, started_at: now, next_report_at: now }
    }

    /// Returns when the next reports are due.
    pub(super) fn next_report_at(&self) -> Duration {
        self.next_report_at
    }

    pub(super) fn set_in_flight(&mut self, in_flight: u32) {
        self.in_flight = Some(in_flight);
    }

    /// Returns this proxy's own report if reports are due and it reports its load, and schedules the next reports.
    pub(super) fn due_report(&mut self, now: Duration, own: &Identity) -> Option<LoadReport> {
        if now < self.next_report_at {
            return None;
        }
        self.next_report_at = now + GOSSIP_INTERVAL;
        let in_flight = self.in_flight?;
        let since_start = now.saturating_sub(self.started_at).as_micros();
        let since_start = u64::try_from(since_start).unwrap_or(u64::MAX);
        Some(LoadReport {
            proxy_index: own.proxy_index,
            reported_at: own.generation.saturating_add(since_start),
            in_flight,
        })
    }
}
