//! The state and the timeouts of a client connection.

use crate::client_counts::ClientCounts;
use crate::eviction_order::{ClientId, EvictionRank, SILENT_CONNECTION_AGE, STALLED_HEAD_AGE};
use crate::stream::Stream;
use crate::upload::Upload;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long a connection may be idle before it is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// The time from the first byte of a request in which its head has to be complete.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2600);
/// The time from accepting a connection in which its first head has to be complete: every client must get an answer
/// or a close within 3 s.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2800);

/// A client connection.
pub(crate) struct Client {
    pub id: ClientId,
    pub stream: Stream,
    pub accepted_at: tokio::time::Instant,
    /// Whether a request is open on it.
    pub is_busy: Cell<bool>,
    /// Whether it has sent a valid request.
    has_sent_request: Cell<bool>,
    /// Whether a large answer is being sent to it.
    pub is_streaming: Cell<bool>,
    /// The request's body, if the request was answered before all of it was read.
    pub unread_upload: Cell<Option<Rc<Upload>>>,
    /// When it was accepted or last answered.
    pub idle_since: Cell<tokio::time::Instant>,
    /// Whether it was evicted or has ended.
    is_closing: Cell<bool>,
    /// Its rank in the eviction order; `None` once it was found busy, until its answer has ended, and while it is
    /// closing.
    pub rank: Cell<Option<EvictionRank>>,
    counts: Rc<ClientCounts>,
    /// Notified when the connection should close.
    pub close_requested: Notify,
}

impl Client {
    /// Creates the state of a connection that was just accepted.
    pub(crate) fn new(id: ClientId, stream: Stream, counts: Rc<ClientCounts>) -> Client {
        let accepted_at = tokio::time::Instant::now();
        Client {
            id,
            stream,
            accepted_at,
            is_busy: Cell::default(),
            has_sent_request: Cell::default(),
            is_streaming: Cell::default(),
            unread_upload: Cell::default(),
            idle_since: Cell::new(accepted_at),
            is_closing: Cell::default(),
            rank: Cell::default(),
            counts,
            close_requested: Notify::new(),
        }
    }

    /// Returns whether it has sent a valid request.
    pub(crate) fn has_sent_request(&self) -> bool {
        self.has_sent_request.get()
    }

    /// Records a valid request, and counts the connection as having one unless it is closing.
    pub(crate) fn record_valid_request(&self) {
        if !self.has_sent_request.replace(true) && !self.is_closing.get() {
            self.counts.record_first_request();
        }
    }

    /// Returns whether it was evicted or has ended.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Marks it as closing and removes it from the counts of connections that stay open.
    pub(crate) fn mark_closing(&self) {
        if !self.is_closing.replace(true) {
            self.counts.record_closing(self.has_sent_request.get());
        }
    }

    /// Returns whether the client has had time to send a request and no request is open: it has sent nothing for
    /// `SILENT_CONNECTION_AGE` after it was accepted, or has sent part of a head and then nothing for
    /// `STALLED_HEAD_AGE`.
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

    /// Returns whether a large answer, or the rest of any answer, is being sent to it.
    pub(crate) fn is_being_answered(&self, now: tokio::time::Instant) -> bool {
        self.is_streaming.get() || !self.stream.write_blocked_for(now).is_zero()
    }

    /// Returns when it times out in its present state; `now` while a request is open, so that its progress is
    /// checked.
    pub(crate) fn times_out_at(&self, now: tokio::time::Instant) -> tokio::time::Instant {
        match self.stream.message_started_at() {
            _ if self.is_busy.get() => now,
            None => self.idle_since.get() + IDLE_TIMEOUT,
            Some(at) if self.has_sent_request.get() => at + HEAD_TIMEOUT,
            Some(at) => (at + HEAD_TIMEOUT).min(self.accepted_at + FIRST_HEAD_TIMEOUT),
        }
    }
}
