//! A client's connection: its state, and how long it may be silent.

use crate::client_counts::ClientCounts;
use crate::eviction_order::{ClientId, EvictionRank, SILENT_CONNECTION_AGE, STALLED_HEAD_AGE};
use crate::stream::Stream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A connection on which nothing comes is closed after this time.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// The head of a request is complete so long after its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2600);
/// The first head on a connection is complete so long after the connection came: any client is owed an end within 3 s.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2800);

/// A client's connection.
pub(crate) struct Client {
    pub id: ClientId,
    pub stream: Stream,
    pub accepted_at: tokio::time::Instant,
    /// A request is open on it.
    pub is_busy: Cell<bool>,
    /// It has sent a valid request.
    has_sent_request: Cell<bool>,
    /// A large answer is on its way to it.
    pub is_streaming: Cell<bool>,
    /// When it was accepted or last answered.
    pub idle_since: Cell<tokio::time::Instant>,
    /// It was evicted, or has ended.
    is_closing: Cell<bool>,
    /// Its rank in the order of eviction; `None` while a request is open on it.
    pub rank: Cell<Option<EvictionRank>>,
    counts: Rc<ClientCounts>,
    /// Notified when it is to close.
    pub close_requested: Notify,
}

impl Client {
    /// A connection that was accepted just now.
    pub(crate) fn new(id: ClientId, stream: Stream, counts: Rc<ClientCounts>) -> Client {
        let accepted_at = tokio::time::Instant::now();
        Client {
            id,
            stream,
            accepted_at,
            is_busy: Cell::default(),
            has_sent_request: Cell::default(),
            is_streaming: Cell::default(),
            idle_since: Cell::new(accepted_at),
            is_closing: Cell::default(),
            rank: Cell::default(),
            counts,
            close_requested: Notify::new(),
        }
    }

    /// Whether it has sent a valid request.
    pub(crate) fn has_sent_request(&self) -> bool {
        self.has_sent_request.get()
    }

    /// A valid request has come on it.
    pub(crate) fn record_valid_request(&self) {
        if !self.has_sent_request.replace(true) && !self.is_closing.get() {
            self.counts.record_first_request();
        }
    }

    /// Whether it was evicted, or has ended.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// From now on it counts no more among those that stay.
    pub(crate) fn mark_closing(&self) {
        if !self.is_closing.replace(true) {
            self.counts.record_closing(self.has_sent_request.get());
        }
    }

    /// Nothing is owed on it, and it had the time to send: it never sent a byte, or sent a part of a head and no more.
    pub(crate) fn is_silent(&self, now: tokio::time::Instant) -> bool {
        if self.is_busy.get() || self.is_closing.get() {
            return false;
        }
        match self.stream.message_started_at() {
            Some(_) => {
                !self.stream.has_kernel_bytes() && now - self.stream.last_read_at() >= STALLED_HEAD_AGE
            }
            None => {
                !self.has_sent_request.get()
                    && now - self.accepted_at >= SILENT_CONNECTION_AGE
                    && !self.stream.has_unread_data()
            }
        }
    }

    /// When it times out, by its present state.
    pub(crate) fn times_out_at(&self, now: tokio::time::Instant) -> tokio::time::Instant {
        match self.stream.message_started_at() {
            _ if self.is_busy.get() => now,
            None => self.idle_since.get() + IDLE_TIMEOUT,
            Some(at) if self.has_sent_request.get() => at + HEAD_TIMEOUT,
            Some(at) => (at + HEAD_TIMEOUT).min(self.accepted_at + FIRST_HEAD_TIMEOUT),
        }
    }
}
