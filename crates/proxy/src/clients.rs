//! The kept client connections, and the order in which they are closed to make room for new ones.
//!
//! The order is kept by what the program knows of a connection without asking the kernel: whether it has sent a whole
//! request, whether part of a head has come, and since when. Choosing the connection to close takes the first of that
//! order and asks the kernel about that one alone, as bytes may have come that the event loop has not read yet. A
//! connection found otherwise than it is filed is filed anew. Each such move answers to bytes that came or to a
//! request that was served since, so that the cost of a choice does not grow with the number of connections.

use crate::client::{Client, FIRST_PATIENCE, HEAD_REST};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::time::Instant;

/// While connections that never sent a whole request hold more than this part of the places, none of them is too young
/// to be closed: a quarter leaves most places to clients that use them.
const UNPROVEN_PART: usize = 4;
/// Connections filed anew in one choice, a fraction of a microsecond each (twice that where the kernel was asked). Each
/// is paid for by bytes that came since that connection was filed; the bound keeps a burst of them from holding the
/// event loop for over a millisecond.
const MOST_FILED: usize = 1024;

/// Names a connection as long as it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ClientId(u64);

/// What a connection that may be closed is doing; declared in the order in which they are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resting {
    /// It has sent nothing yet.
    Silent,
    /// Part of a head came.
    PartialHead,
    /// It waits between requests.
    BetweenRequests,
}

/// Where a connection is filed: by what it does, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Filed {
    resting: Resting,
    since: Instant,
}

/// A connection's place among those that do the same, the longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    since: Instant,
    id: ClientId,
}

/// Connections by what they do.
#[derive(Default)]
struct Order {
    silent: BTreeSet<Place>,
    partial: BTreeSet<Place>,
    between: BTreeSet<Place>,
}

impl Order {
    fn of(&mut self, resting: Resting) -> &mut BTreeSet<Place> {
        match resting {
            Resting::Silent => &mut self.silent,
            Resting::PartialHead => &mut self.partial,
            Resting::BetweenRequests => &mut self.between,
        }
    }

    /// The first to go by what is known without the kernel. Of those that have just come none goes before clients that
    /// wait between requests, unless `crowded`.
    fn first(&self, now: Instant, crowded: bool) -> Option<Place> {
        let old = |place: &&Place, least| now.saturating_duration_since(place.since) >= least;
        let silent = self.silent.first();
        let due = silent.filter(|place| crowded || old(place, FIRST_PATIENCE));
        let stopped = self.partial.first().filter(|place| old(place, HEAD_REST));
        due.or(stopped).or(self.between.first()).or(silent).copied()
    }
}

/// Where a connection found in the kernel's and the program's state belongs.
enum Found {
    /// As it was filed: it may be closed.
    AsFiled,
    /// A request is open on it, or it is closing already.
    NotResting,
    Elsewhere(Filed),
}

/// What the program itself knows of it, as long as nothing is unread.
fn known(client: &Client) -> Filed {
    match client.stream.message_started_at() {
        Some(_) => Filed { resting: Resting::PartialHead, since: client.stream.last_read_at() },
        None if client.is_proven() => {
            Filed { resting: Resting::BetweenRequests, since: client.idle_since.get() }
        }
        None => Filed { resting: Resting::Silent, since: client.accepted },
    }
}

/// Bytes wait in the kernel, or the other side has closed between requests.
fn unread(client: &Client) -> bool {
    match client.stream.message_started_at() {
        Some(_) => client.stream.has_kernel_bytes(),
        None => client.stream.has_unread_data(),
    }
}

fn look(client: &Client, filed: Filed, now: Instant) -> Found {
    if client.busy.get() || client.is_leaving() {
        return Found::NotResting;
    }
    let known = known(client);
    if known.resting != filed.resting || known.since > filed.since {
        return Found::Elsewhere(known);
    }
    if unread(client) {
        // The event loop is about to read it: it counts as read now.
        return Found::Elsewhere(Filed { resting: Resting::PartialHead, since: now });
    }
    Found::AsFiled
}

/// Which connection is closed first.
pub(crate) enum Choice {
    /// This one, which is marked as leaving.
    Leaves(Rc<Client>),
    /// None: requests are open or on their way on all of them, or they have just come.
    Nobody,
    /// Not known yet: many had to be filed anew, and there are more of them.
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

/// All client connections that are kept.
#[derive(Default)]
pub(crate) struct Clients {
    kept: RefCell<HashMap<ClientId, Rc<Client>>>,
    order: RefCell<Order>,
    pub population: Rc<Population>,
    next: Cell<u64>,
    /// How often a connection was filed, for the report: what choices cost beside one look at the kernel each.
    pub filings: Cell<u64>,
}

impl Clients {
    pub(crate) fn len(&self) -> usize {
        self.kept.borrow().len()
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

    /// Keeps a connection that has just been accepted.
    pub(crate) fn insert(&self, client: Rc<Client>) {
        self.population.joined();
        self.file(&client, Filed { resting: Resting::Silent, since: client.accepted });
        self.kept.borrow_mut().insert(client.id, client);
    }

    /// Forgets a connection that has ended.
    pub(crate) fn remove(&self, client: &Client) {
        self.unfile(client);
        client.leave();
        self.kept.borrow_mut().remove(&client.id);
    }

    /// An answer has ended on it: it waits for the next request.
    pub(crate) fn rests(&self, client: &Client) {
        if !self.kept.borrow().contains_key(&client.id) {
            return; // its connection ended with the answer
        }
        let resting = if client.is_proven() { Resting::BetweenRequests } else { Resting::Silent };
        self.file(client, Filed { resting, since: client.idle_since.get() });
    }

    pub(crate) fn for_each(&self, each: impl Fn(&Client)) {
        self.kept.borrow().values().for_each(|client| each(client));
    }

    /// Chooses the connection that is closed first where `most` may be kept.
    pub(crate) fn choose_leaving(&self, now: Instant, most: usize) -> Choice {
        let crowded = self.unproven() > most / UNPROVEN_PART;
        for _ in 0..MOST_FILED {
            let place = self.order.borrow().first(now, crowded);
            let client = place.and_then(|place| self.kept.borrow().get(&place.id).cloned());
            let Some(client) = client else { return Choice::Nobody };
            let Some(filed) = client.filed.get() else { return Choice::Nobody };
            match look(&client, filed, now) {
                Found::AsFiled => {
                    self.unfile(&client);
                    client.leave(); // another call at the same moment chooses another
                    return Choice::Leaves(client);
                }
                Found::NotResting => self.unfile(&client),
                Found::Elsewhere(filed) => self.file(&client, filed),
            }
        }
        Choice::Unfinished
    }

    fn file(&self, client: &Client, filed: Filed) {
        self.unfile(client);
        self.filings.set(self.filings.get() + 1);
        client.filed.set(Some(filed));
        let place = Place { since: filed.since, id: client.id };
        self.order.borrow_mut().of(filed.resting).insert(place);
    }

    fn unfile(&self, client: &Client) {
        if let Some(filed) = client.filed.take() {
            let place = Place { since: filed.since, id: client.id };
            self.order.borrow_mut().of(filed.resting).remove(&place);
        }
    }
}

#[cfg(test)]
mod tests;
