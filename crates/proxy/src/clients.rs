//! The open client connections, and the order in which they are closed to make room for new ones.
//!
//! The order is kept by what the program knows of a connection without asking the kernel: whether it has sent a whole
//! request, whether part of a head has come, and since when. Choosing the connection to close takes the first of that
//! order and asks the kernel about that one alone, as bytes may have come that the event loop has not read yet. A
//! connection found in another state than its rank says gets a new rank. Each such change answers to bytes that came or
//! to a request that was served since, so that the cost of a choice does not grow with the number of connections.

use crate::client::{Client, SILENT_CONNECTION_AGE, STALLED_HEAD_AGE};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::time::Instant;

/// While connections that never sent a valid request hold more than one in so many of the places, none of them is too
/// young to be closed: a quarter leaves most places to clients that use them.
const MAX_UNPROVEN_DIVISOR: usize = 4;
/// Connections that get a new rank in one choice, a fraction of a microsecond each (twice that where the kernel was
/// asked). Each is paid for by bytes that came since that connection had its rank; the bound keeps a burst of them from
/// holding the event loop for over a millisecond.
const MAX_RECLASSIFIED_PER_CHOICE: usize = 1024;

/// Names a connection as long as it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ClientId(u64);

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
    state: IdleState,
    since: Instant,
}

/// A connection among those in the same state, the longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    since: Instant,
    id: ClientId,
}

/// Connections by what they do.
#[derive(Default)]
struct EvictionOrder {
    silent: BTreeSet<EvictionCandidate>,
    partial: BTreeSet<EvictionCandidate>,
    between: BTreeSet<EvictionCandidate>,
}

impl EvictionOrder {
    fn of(&mut self, state: IdleState) -> &mut BTreeSet<EvictionCandidate> {
        match state {
            IdleState::Silent => &mut self.silent,
            IdleState::PartialHead => &mut self.partial,
            IdleState::BetweenRequests => &mut self.between,
        }
    }

    /// The first to go by what is known without the kernel. Of those that have just come none goes before clients that
    /// wait between requests, unless `is_overloaded`.
    fn first(&self, now: Instant, is_overloaded: bool) -> Option<EvictionCandidate> {
        let old =
            |candidate: &&EvictionCandidate, least| now.saturating_duration_since(candidate.since) >= least;
        let silent = self.silent.first();
        let due = silent.filter(|candidate| is_overloaded || old(candidate, SILENT_CONNECTION_AGE));
        let stopped = self.partial.first().filter(|candidate| old(candidate, STALLED_HEAD_AGE));
        due.or(stopped).or(self.between.first()).or(silent).copied()
    }
}

/// How a connection's rank compares with its state by the kernel and the program.
enum RankCheck {
    /// As its rank says: it may be closed.
    AsRanked,
    /// A request is open on it, or it is closing already.
    NotIdle,
    Elsewhere(EvictionRank),
}

/// What the program itself knows of it, as long as nothing is unread.
fn known_rank(client: &Client) -> EvictionRank {
    match client.stream.message_started_at() {
        Some(_) => EvictionRank { state: IdleState::PartialHead, since: client.stream.last_read_at() },
        None if client.has_sent_request() => {
            EvictionRank { state: IdleState::BetweenRequests, since: client.idle_since.get() }
        }
        None => EvictionRank { state: IdleState::Silent, since: client.accepted_at },
    }
}

/// Bytes wait in the kernel, or the other side has closed between requests.
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
    let known = known_rank(client);
    if known.state != rank.state || known.since > rank.since {
        return RankCheck::Elsewhere(known);
    }
    if has_unread_data(client) {
        // The event loop is about to read it: it counts as read now.
        return RankCheck::Elsewhere(EvictionRank { state: IdleState::PartialHead, since: now });
    }
    RankCheck::AsRanked
}

/// Which connection is closed first.
pub(crate) enum Choice {
    /// This one, which is marked as closing.
    Evicted(Rc<Client>),
    /// None: requests are open or on their way on all of them, or they have just come.
    Nobody,
    /// Not known yet: many had to get a new rank, and there are more of them.
    Unfinished,
}

/// How many connections there are of a kind.
#[derive(Default)]
pub(crate) struct Population {
    /// Not told to leave.
    staying: Cell<usize>,
    /// Of those, the ones that have not sent a whole request yet.
    unproven: Cell<usize>,
}

impl Population {
    fn joined(&self) {
        self.staying.set(self.staying.get() + 1);
        self.unproven.set(self.unproven.get() + 1);
    }

    pub(crate) fn proved(&self) {
        self.unproven.set(self.unproven.get() - 1);
    }

    pub(crate) fn left(&self, proven: bool) {
        self.staying.set(self.staying.get() - 1);
        self.unproven.set(self.unproven.get() - usize::from(!proven));
    }
}

/// All client connections that are open.
#[derive(Default)]
pub(crate) struct Clients {
    by_id: RefCell<HashMap<ClientId, Rc<Client>>>,
    order: RefCell<EvictionOrder>,
    pub population: Rc<Population>,
    next: Cell<u64>,
    /// How often a connection got a rank, for the log: what choices cost in addition to one look at the kernel each.
    pub reclassified: Cell<u64>,
}

impl Clients {
    pub(crate) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Connections that were not told to leave.
    pub(crate) fn staying(&self) -> usize {
        self.population.staying.get()
    }

    /// Of those, the ones that have not sent a whole request yet.
    pub(crate) fn unproven(&self) -> usize {
        self.population.unproven.get()
    }

    /// Of those, the ones that have.
    pub(crate) fn proven(&self) -> usize {
        self.staying() - self.unproven()
    }

    /// The name of the next connection.
    pub(crate) fn next_id(&self) -> ClientId {
        self.next.set(self.next.get() + 1);
        ClientId(self.next.get())
    }

    /// Adds a connection that has just been accepted.
    pub(crate) fn insert(&self, client: Rc<Client>) {
        self.population.joined();
        self.set_rank(&client, EvictionRank { state: IdleState::Silent, since: client.accepted_at });
        self.by_id.borrow_mut().insert(client.id, client);
    }

    /// Forgets a connection that has ended.
    pub(crate) fn remove(&self, client: &Client) {
        self.unrank(client);
        client.mark_closing();
        self.by_id.borrow_mut().remove(&client.id);
    }

    /// An answer has ended on it: it waits for the next request.
    pub(crate) fn record_answered(&self, client: &Client) {
        if !self.by_id.borrow().contains_key(&client.id) {
            return; // its connection ended with the answer
        }
        let state = if client.has_sent_request() { IdleState::BetweenRequests } else { IdleState::Silent };
        self.set_rank(client, EvictionRank { state, since: client.idle_since.get() });
    }

    pub(crate) fn for_each(&self, each: impl Fn(&Client)) {
        self.by_id.borrow().values().for_each(|client| each(client));
    }

    /// Chooses the connection that is closed first where `max_clients` may be open.
    pub(crate) fn choose_evicted(&self, now: Instant, max_clients: usize) -> Choice {
        let is_overloaded = self.unproven() > max_clients / MAX_UNPROVEN_DIVISOR;
        for _ in 0..MAX_RECLASSIFIED_PER_CHOICE {
            let candidate = self.order.borrow().first(now, is_overloaded);
            let client = candidate.and_then(|candidate| self.by_id.borrow().get(&candidate.id).cloned());
            let Some(client) = client else { return Choice::Nobody };
            let Some(rank) = client.rank.get() else { return Choice::Nobody };
            match check_rank(&client, rank, now) {
                RankCheck::AsRanked => {
                    self.unrank(&client);
                    client.mark_closing(); // another call at the same moment chooses another
                    return Choice::Evicted(client);
                }
                RankCheck::NotIdle => self.unrank(&client),
                RankCheck::Elsewhere(rank) => self.set_rank(&client, rank),
            }
        }
        Choice::Unfinished
    }

    fn set_rank(&self, client: &Client, rank: EvictionRank) {
        self.unrank(client);
        self.reclassified.set(self.reclassified.get() + 1);
        client.rank.set(Some(rank));
        let candidate = EvictionCandidate { since: rank.since, id: client.id };
        self.order.borrow_mut().of(rank.state).insert(candidate);
    }

    fn unrank(&self, client: &Client) {
        if let Some(rank) = client.rank.take() {
            let candidate = EvictionCandidate { since: rank.since, id: client.id };
            self.order.borrow_mut().of(rank.state).remove(&candidate);
        }
    }
}

#[cfg(test)]
mod tests;
