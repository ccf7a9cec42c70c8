//! What the client of discovery does, for the log and for operators: a proxy that no longer polls shows a growing
//! `last_poll_age_ms`.

use super::poll::{PollError, PollRequest};
use crate::endpoint_list::ParsedEndpointList;
use serde::Serialize;
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// The number of a poll, which identifies it in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PollNumber(u64);

impl fmt::Display for PollNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// What the client is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No poll was requested yet.
    #[default]
    Starting,
    /// At least one poll is in flight.
    Polling,
    /// The last poll failed, and the next one follows after a pause.
    BackingOff,
}

impl fmt::Display for Phase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Phase::Starting => "starting",
            Phase::Polling => "polling",
            Phase::BackingOff => "backing_off",
        })
    }
}

/// Which poll an endpoint list answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListSource {
    /// One that was waited for.
    Poll,
    /// One that was in flight when another was answered.
    LatePoll,
    /// One that was in flight at an earlier address when discovery moved.
    EarlierAddress,
}

impl fmt::Display for ListSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ListSource::Poll => "poll",
            ListSource::LatePoll => "late poll",
            ListSource::EarlierAddress => "earlier address",
        })
    }
}

/// The state of the client of discovery.
#[derive(Clone, Debug, Serialize)]
pub struct DiscoveryStatus {
    /// The address of discovery.
    pub address: Option<SocketAddr>,
    /// What the client is doing.
    pub phase: Phase,
    /// The version of the latest list that was received.
    pub version: Option<u64>,
    /// Time since the last poll was opened, ms.
    pub last_poll_age_ms: Option<u64>,
    /// Time since the last list was received, ms.
    pub last_list_age_ms: Option<u64>,
    /// Polls that failed since the last list was received.
    pub consecutive_failures: u64,
    /// Polls opened since the start.
    pub polls: u64,
    /// Polls that failed since the start.
    pub failed_polls: u64,
    /// How often discovery has moved to another address.
    pub moves: u64,
}

/// Records what the client of discovery does.
#[derive(Default)]
pub struct DiscoveryMonitor {
    address: Cell<Option<SocketAddr>>,
    phase: Cell<Phase>,
    version: Cell<Option<u64>>,
    last_poll_at: Cell<Option<Instant>>,
    last_list_at: Cell<Option<Instant>>,
    consecutive_failures: Cell<u64>,
    polls: Cell<u64>,
    failed_polls: Cell<u64>,
    moves: Cell<u64>,
}

fn increment(count: &Cell<u64>) -> u64 {
    count.set(count.get() + 1);
    count.get()
}

fn age_ms(at: Option<Instant>) -> Option<u64> {
    let age = at?.elapsed();
    Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

impl DiscoveryMonitor {
    /// Returns the current state.
    pub fn status(&self) -> DiscoveryStatus {
        DiscoveryStatus {
            address: self.address.get(),
            phase: self.phase.get(),
            version: self.version.get(),
            last_poll_age_ms: age_ms(self.last_poll_at.get()),
            last_list_age_ms: age_ms(self.last_list_at.get()),
            consecutive_failures: self.consecutive_failures.get(),
            polls: self.polls.get(),
            failed_polls: self.failed_polls.get(),
            moves: self.moves.get(),
        }
    }

    /// Logs the current state.
    pub fn log_status(&self) {
        let status = self.status();
        info!(
            address = status.address.map(tracing::field::display),
            phase = %status.phase,
            version = status.version,
            last_poll_age_ms = status.last_poll_age_ms,
            last_list_age_ms = status.last_list_age_ms,
            consecutive_failures = status.consecutive_failures,
            polls = status.polls,
            failed_polls = status.failed_polls,
            moves = status.moves,
            "discovery"
        );
    }

    /// Records the address of discovery; it has moved if there was another one before.
    pub(super) fn record_address(&self, address: SocketAddr) {
        let Some(previous) = self.address.replace(Some(address)) else { return };
        if previous == address {
            return;
        }
        increment(&self.moves);
        self.consecutive_failures.set(0);
        info!(%previous, %address, version = self.version.get(), "discovery moved");
    }

    /// Records that a poll is opened, and returns its number.
    pub(super) fn record_poll(&self, request: &PollRequest) -> PollNumber {
        let number = PollNumber(increment(&self.polls));
        self.phase.set(Phase::Polling);
        self.last_poll_at.set(Some(Instant::now()));
        debug!(
            poll = %number,
            after = request.changes_after(),
            max_wait_ms = request.max_wait.as_millis() as u64,
            "discovery poll opened"
        );
        number
    }

    /// Records that a poll failed. Only the first of consecutive failures is a warning.
    pub(super) fn record_failure(&self, poll: PollNumber, error: &PollError) {
        increment(&self.failed_polls);
        let failures = increment(&self.consecutive_failures);
        if failures == 1 {
            warn!(%poll, %error, "discovery failed");
        } else {
            debug!(%poll, %error, failures, "discovery failed again");
        }
    }

    /// Records that the client waits before it opens another poll, for `pause` if it decides that itself.
    pub(super) fn record_back_off(&self, pause: Option<Duration>) {
        self.phase.set(Phase::BackingOff);
        debug!(pause_ms = pause.map(|pause| pause.as_millis() as u64), "discovery poll delayed");
    }

    /// Records an answer to a poll, before it is applied.
    pub(super) fn record_list(&self, poll: PollNumber, source: ListSource, received: &ParsedEndpointList) {
        let list = &received.list;
        self.last_list_at.set(Some(Instant::now()));
        self.version.set(Some(list.version));
        if source == ListSource::Poll && self.consecutive_failures.replace(0) > 0 {
            info!(%poll, version = list.version, "discovery is back");
        }
        if list.endpoints.is_empty() && !list.snapshot {
            debug!(%poll, %source, version = list.version, "no change of the endpoint list");
            return;
        }
        info!(
            %poll,
            %source,
            version = list.version,
            full = list.snapshot,
            entries = list.endpoints.len(),
            departures = received.departures(),
            "endpoint list received"
        );
    }
}
