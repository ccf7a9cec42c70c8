//! The order in which client connections are closed to make room for new ones.

use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that has sent nothing so long after it came is evicted first.
pub(crate) const SILENT_CONNECTION_AGE: Duration = Duration::from_millis(100);
/// A connection that sends nothing for so long within a head is evicted next.
pub(crate) const STALLED_HEAD_AGE: Duration = Duration::from_millis(500);

/// Names a connection as long as it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ClientId(pub u64);

/// What a connection that may be closed is doing; declared in the order in which they are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleState {
    /// It has sent nothing yet.
    Silent,
    /// Part of a head came.
    PartialHead,
    /// It waits between requests.
    BetweenRequests,
}

/// A connection's rank in the order of eviction: by what it does, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EvictionRank {
    pub state: IdleState,
    pub since: Instant,
}

/// A connection among those in the same state, the longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionCandidate {
    pub since: Instant,
    pub id: ClientId,
}

/// Connections by what they do.
#[derive(Default)]
pub(crate) struct EvictionOrder {
    silent: BTreeSet<EvictionCandidate>,
    partial_head: BTreeSet<EvictionCandidate>,
    between_requests: BTreeSet<EvictionCandidate>,
}

impl EvictionOrder {
    /// Those in this state.
    pub(crate) fn in_state(&mut self, state: IdleState) -> &mut BTreeSet<EvictionCandidate> {
        match state {
            IdleState::Silent => &mut self.silent,
            IdleState::PartialHead => &mut self.partial_head,
            IdleState::BetweenRequests => &mut self.between_requests,
        }
    }

    /// The first to be evicted by what is known without the kernel. Of those that have just come none goes before clients
    /// that wait between requests, unless `is_overloaded`.
    pub(crate) fn first(&self, now: Instant, is_overloaded: bool) -> Option<EvictionCandidate> {
        let is_older = |candidate: &&EvictionCandidate, least_age| {
            now.saturating_duration_since(candidate.since) >= least_age
        };
        let silent = self.silent.first();
        let silent_for_long =
            silent.filter(|candidate| is_overloaded || is_older(candidate, SILENT_CONNECTION_AGE));
        let stalled_head =
            self.partial_head.first().filter(|candidate| is_older(candidate, STALLED_HEAD_AGE));
        silent_for_long.or(stalled_head).or(self.between_requests.first()).or(silent).copied()
    }
}
