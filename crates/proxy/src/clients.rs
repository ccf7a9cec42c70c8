//! The open client connections, and the order in which they are closed to make room for new ones.
//!
//! The order is based on whether a connection has sent a valid request, whether part of a head has been read, and since
//! when. Choosing the connection to close takes the first in that order and queries the kernel for that one alone: bytes
//! may have arrived that the event loop has not read yet, and part of a head may have waited in the queue of the
//! listener before it was read. A connection whose state no longer matches its rank gets a new rank. Each such change is caused by
//! bytes that arrived or by a request that was served since, so the cost of a choice does not grow with the number
//! of connections.

use crate::client::Client;
use crate::client_counts::ClientCounts;
use crate::eviction_order::{
    ClientId, EvictionCandidate, EvictionOrder, EvictionRank, IdleState, STALLED_HEAD_AGE,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Connections that have never sent a valid request may be evicted at any age once they exceed the limit on connections
/// divided by this number: a quarter reserves most connections for clients that use them.
const MAX_WITHOUT_REQUEST_DIVISOR: usize = 4;
/// Maximum number of connections that get a new rank in one choice. Each takes a fraction of a microsecond, or twice
/// that if the kernel is queried, and is caused by bytes that arrived since the connection got its rank. The bound
/// keeps a burst of them from occupying the event loop for over a millisecond.
const MAX_RECLASSIFIED_PER_CHOICE: usize = 1024;

/// The delay after which the rank of a connection with unread data is checked again.
const UNREAD_RECHECK_DELAY: Duration = Duration::from_millis(20);

/// The result of comparing a connection's rank with its state, as known to the kernel and the program.
enum RankCheck {
    /// The rank is current: the connection may be closed.
    Unchanged,
    /// A request is open on it, or it is closing already.
    NotIdle,
    /// The rank has changed to this one.
    Changed(EvictionRank),
}

/// Returns the rank of a connection without unread bytes. Part of a head counts from the arrival of its last byte, which
/// may have waited in the queue of the listener for long.
fn rank_by_reads(client: &Client, now: Instant) -> EvictionRank {
    match client.stream.message_started_at() {
        Some(_) => EvictionRank { state: IdleState::PartialHead, since: client.stream.last_data_at(now) },
        None if client.has_sent_request() => {
            EvictionRank { state: IdleState::BetweenRequests, since: client.idle_since.get() }
        }
        None => EvictionRank { state: IdleState::Silent, since: client.accepted_at },
    }
}

/// Returns whether bytes wait in the kernel, or the peer has closed between requests.
fn has_unread_data(client: &Client) -> bool {
    match client.stream.message_started_at() {
        Some(_) => client.stream.has_kernel_bytes(),
        None => client.stream.has_unread_data(),
    }
}

fn check_rank(client: &Client, rank: EvictionRank, now: Instant) -> RankCheck {
    if client.is_busy.get() || client.is_closing() {
        return RankCheck::NotIdle;
    }
    let current = rank_by_reads(client, now);
    if current.state != rank.state || current.since > rank.since {
        return RankCheck::Changed(current);
    }
    if has_unread_data(client) {
        // The event loop is about to read the data. Its rank is checked again after that.
        let since = now.checked_sub(STALLED_HEAD_AGE - UNREAD_RECHECK_DELAY).unwrap_or(now);
        return RankCheck::Changed(EvictionRank { state: IdleState::PartialHead, since });
    }
    RankCheck::Unchanged
}

/// The result of choosing the connection to close first.
pub(crate) enum EvictionChoice {
    /// This connection, which is now marked as closing.
    Evicted(Rc<Client>),
    /// None can be closed: each has an open or incoming request, or is closing already.
    NoneEligible,
    /// Undecided: the limit on new ranks in one choice was reached, and more connections may need one.
    Unfinished,
}

/// All client connections that are open.
#[derive(Default)]
pub(crate) struct Clients {
    by_id: RefCell<HashMap<ClientId, Rc<Client>>>,
    order: RefCell<EvictionOrder>,
    pub counts: Rc<ClientCounts>,
    last_id: Cell<u64>,
    /// The number of ranks assigned since the last log line: the cost of choices in addition to one query to the
    /// kernel each.
    pub reclassified: Cell<u64>,
}

impl Clients {
    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Returns the id for the next connection.
    pub(crate) fn next_id(&self) -> ClientId {
        self.last_id.set(self.last_id.get() + 1);
        ClientId(self.last_id.get())
    }

    /// Adds a connection that has just been accepted.
    pub(crate) fn insert(&self, client: Rc<Client>) {
        self.counts.record_accepted();
        self.set_rank(&client, EvictionRank { state: IdleState::Silent, since: client.accepted_at });
        self.by_id.borrow_mut().insert(client.id, client);
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, client: &Client) {
        self.unrank(client);
        client.mark_closing();
        self.by_id.borrow_mut().remove(&client.id);
    }

    /// Ranks a connection whose answer has ended and that waits for its next request.
    pub(crate) fn record_answered(&self, client: &Client) {
        if !self.by_id.borrow().contains_key(&client.id) {
            return; // the connection ended with its answer
        }
        let state = if client.has_sent_request() { IdleState::BetweenRequests } else { IdleState::Silent };
        self.set_rank(client, EvictionRank { state, since: client.idle_since.get() });
    }

    /// Calls `each` with every connection.
    pub(crate) fn for_each(&self, each: impl Fn(&Client)) {
        self.by_id.borrow().values().for_each(|client| each(client));
    }

    /// Returns whether a connection meets the condition.
    pub(crate) fn any(&self, condition: impl Fn(&Client) -> bool) -> bool {
        self.by_id.borrow().values().any(|client| condition(client))
    }

    /// Chooses the connection to close first if at most `max_clients` may be open.
    pub(crate) fn choose_evicted(&self, now: Instant, max_clients: usize) -> EvictionChoice {
        let is_overloaded = self.counts.without_request() > max_clients / MAX_WITHOUT_REQUEST_DIVISOR;
        for _ in 0..MAX_RECLASSIFIED_PER_CHOICE {
            let candidate = self.order.borrow().first(now, is_overloaded);
            let client = candidate.and_then(|candidate| self.by_id.borrow().get(&candidate.id).cloned());
            let Some(client) = client else { return EvictionChoice::NoneEligible };
            let Some(rank) = client.rank.get() else { return EvictionChoice::NoneEligible };
            match check_rank(&client, rank, now) {
                RankCheck::Unchanged => {
                    self.unrank(&client);
                    client.mark_closing(); // so that the next call chooses another
                    return EvictionChoice::Evicted(client);
                }
                RankCheck::NotIdle => self.unrank(&client),
                RankCheck::Changed(rank) => self.set_rank(&client, rank),
            }
        }
        EvictionChoice::Unfinished
    }

    fn set_rank(&self, client: &Client, rank: EvictionRank) {
        self.unrank(client);
        self.reclassified.set(self.reclassified.get() + 1);
        client.rank.set(Some(rank));
        let candidate = EvictionCandidate { since: rank.since, id: client.id };
        self.order.borrow_mut().in_state(rank.state).insert(candidate);
    }

    fn unrank(&self, client: &Client) {
        if let Some(rank) = client.rank.take() {
            let candidate = EvictionCandidate { since: rank.since, id: client.id };
            self.order.borrow_mut().in_state(rank.state).remove(&candidate);
        }
    }
}

#[cfg(test)]
mod tests;
