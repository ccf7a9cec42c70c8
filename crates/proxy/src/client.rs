//! A client's connection: how it stands and how long it may rest.

use crate::clients::{ClientId, Filed, Population};
use crate::stream::Stream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A connection on which nothing comes is closed after this time.
pub(crate) const IDLE_PATIENCE: Duration = Duration::from_millis(2100);
/// The head of a request is whole so long after its first byte ...
const HEAD_PATIENCE: Duration = Duration::from_millis(2600);
/// ... and the first on a connection so long after it came: any client is owed an end within 3 s.
const FIRST_HEAD_PATIENCE: Duration = Duration::from_millis(2800);
/// A connection that sends nothing for so long, before its first request or within a head, makes way first.
pub(crate) const FIRST_PATIENCE: Duration = Duration::from_millis(100);
pub(crate) const HEAD_REST: Duration = Duration::from_millis(500);

pub(crate) struct Client {
    pub id: ClientId,
    pub stream: Stream,
    pub accepted: tokio::time::Instant,
    /// A request is open on it.
    pub busy: Cell<bool>,
    /// It has sent a whole request that made sense.
    proven: Cell<bool>,
    /// A large answer is on its way to it.
    pub flowing: Cell<bool>,
    /// When it was accepted or last answered.
    pub idle_since: Cell<tokio::time::Instant>,
    /// It was chosen to make room, or has ended.
    leaving: Cell<bool>,
    /// Its place in the order of closing; `None` while a request is open on it.
    pub filed: Cell<Option<Filed>>,
    population: Rc<Population>,
    pub close: Notify,
}

impl Client {
    /// A connection that was accepted just now.
    pub(crate) fn new(id: ClientId, stream: Stream, population: Rc<Population>) -> Client {
        let accepted = tokio::time::Instant::now();
        Client {
            id,
            stream,
            accepted,
            busy: Cell::default(),
            proven: Cell::default(),
            flowing: Cell::default(),
            idle_since: Cell::new(accepted),
            leaving: Cell::default(),
            filed: Cell::default(),
            population,
            close: Notify::new(),
        }
    }

    /// It has sent a whole request that made sense.
    pub(crate) fn is_proven(&self) -> bool {
        self.proven.get()
    }

    /// A whole request that makes sense has come on it.
    pub(crate) fn prove(&self) {
        if !self.proven.replace(true) && !self.leaving.get() {
            self.population.proved();
        }
    }

    /// It was chosen to make room, or has ended.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// From now on it counts no more among those that stay.
    pub(crate) fn leave(&self) {
        if !self.leaving.replace(true) {
            self.population.left(self.proven.get());
        }
    }

    /// Nothing is owed on it, and it had the time to ask: it never sent a byte, or sent a part of a head and no more.
    pub(crate) fn asks_nothing(&self, now: tokio::time::Instant) -> bool {
        if self.busy.get() || self.leaving.get() {
            return false;
        }
        match self.stream.message_started_at() {
            Some(_) => !self.stream.has_kernel_bytes() && now - self.stream.last_read_at() >= HEAD_REST,
            None => {
                !self.proven.get() && now - self.accepted >= FIRST_PATIENCE && !self.stream.has_unread_data()
            }
        }
    }

    /// When its patience ends, as things stand.
    pub(crate) fn due(&self, now: tokio::time::Instant) -> tokio::time::Instant {
        match self.stream.message_started_at() {
            _ if self.busy.get() => now,
            None => self.idle_since.get() + IDLE_PATIENCE,
            Some(at) if self.proven.get() => at + HEAD_PATIENCE,
            Some(at) => (at + HEAD_PATIENCE).min(self.accepted + FIRST_HEAD_PATIENCE),
        }
    }
}
