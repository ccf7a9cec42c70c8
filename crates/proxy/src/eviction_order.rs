//! The order in which client connections are closed to make room for new ones.

use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// The age from which connections that have sent nothing are evicted before all others.
pub(crate) const SILENT_CONNECTION_AGE: Duration = Duration::from_millis(100);
/// The pause within a head after which a connection may be evicted, after the silent ones.
pub(crate) const STALLED_HEAD_AGE: Duration = Duration::from_millis(500);

/// Identifies an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ClientId(pub u64);

/// The state of a connection that may be closed; declared in the order in which they are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleState {
    /// It has sent nothing yet.
    Silent,
    /// It has sent part of a head.
    PartialHead,
    /// It is idle between requests.
    BetweenRequests,
}

/// A connection's rank in the eviction order: its state, and the time that orders it among others in that state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EvictionRank {
    pub state: IdleState,
    pub since: Instant,
}

/// A connection among those in the same state, ordered by the time of its rank, the earliest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionCandidate {
    pub since: Instant,
    pub id: ClientId,
}

/// The connections that may be closed, by state.
#[derive(Default)]
pub(crate) struct EvictionOrder {
    silent: BTreeSet<EvictionCandidate>,
    partial_head: BTreeSet<EvictionCandidate>,
    between_requests: BTreeSet<EvictionCandidate>,
}

impl EvictionOrder {
    /// Returns the connections in this state.
    pub(crate) fn in_state(&mut self, state: IdleState) -> &mut BTreeSet<EvictionCandidate> {
        match state {
            IdleState::Silent => &mut self.silent,
            IdleState::PartialHead => &mut self.partial_head,
            IdleState::BetweenRequests => &mut self.between_requests,
        }
    }

    /// Returns the first connection to evict, by what is known without querying the kernel. Connections that were just
    /// accepted come after clients that are idle between requests, unless `is_overloaded`. A head that has not stalled
    /// keeps its connection from being evicted.
    pub(crate) fn first(&self, now: Instant, is_overloaded: bool) -> Option<EvictionCandidate> {
        let is_older = |candidate: &&EvictionCandidate, min_age| {
            now.saturating_duration_since(candidate.since) >= min_age
        };
        let silent = self.silent.first();
        let silent_for_long =
            silent.filter(|candidate| is_overloaded || is_older(candidate, SILENT_CONNECTION_AGE));
        let stalled_head =
            self.partial_head.first().filter(|candidate| is_older(candidate, STALLED_HEAD_AGE));
        silent_for_long.or(stalled_head).or(self.between_requests.first()).or(silent).copied()
    }
}
