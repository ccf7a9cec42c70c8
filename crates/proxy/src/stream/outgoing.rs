//! The state of the outgoing request: what has been written of it, and whether it may be sent.

use super::head::HeadEnd;
use std::cell::{Cell, RefCell};

/// A function that returns whether a request may still be sent.
pub(crate) type SendGate = Box<dyn Fn() -> bool>;

/// The state of the outgoing request.
pub(super) struct OutgoingRequest {
    head_end: HeadEnd,
    /// Bytes of the body still to be written after the head.
    body_bytes_left: Cell<u64>,
    /// Called before the first byte of a request, and dropped once part of it was written.
    gate: RefCell<Option<SendGate>>,
    /// Whether the gate returned false.
    withheld: Cell<bool>,
    /// Bytes written of all requests.
    total_bytes: Cell<u64>,
}

impl OutgoingRequest {
    pub(super) fn new() -> OutgoingRequest {
        OutgoingRequest {
            head_end: HeadEnd::passed(),
            body_bytes_left: Cell::default(),
            gate: RefCell::default(),
            withheld: Cell::default(),
            total_bytes: Cell::default(),
        }
    }

    /// Starts a new request. A body of unknown length never counts as written completely.
    pub(super) fn begin(&self, body_bytes: Option<u64>, gate: SendGate) {
        self.gate.replace(Some(gate));
        self.withheld.set(false);
        self.head_end.reset();
        self.body_bytes_left.set(body_bytes.unwrap_or(u64::MAX));
    }

    /// Returns whether the last byte of the request was written.
    pub(super) fn is_written(&self) -> bool {
        self.head_end.is_passed() && self.body_bytes_left.get() == 0
    }

    /// Returns whether the gate withheld the request, so that none of it was sent.
    pub(super) fn is_withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Calls the gate if nothing has been sent and returns whether the request may be sent. A gate that returns
    /// false is dropped and not called again: it may hold a client's connection, and this connection may stay in
    /// the pool for long.
    pub(super) fn check_gate(&self) -> bool {
        if self.gate.borrow().as_ref().is_some_and(|may_send| !may_send()) {
            self.withheld.set(true);
            self.gate.take();
        }
        !self.withheld.get()
    }

    /// Records bytes that were just written.
    pub(super) fn record(&self, bytes: &[u8]) {
        self.gate.take();
        self.total_bytes.set(self.total_bytes.get() + bytes.len() as u64);
        let body_bytes = self.head_end.count_bytes_after(bytes) as u64;
        self.body_bytes_left.set(self.body_bytes_left.get().saturating_sub(body_bytes));
    }

    pub(super) fn total_bytes(&self) -> u64 {
        self.total_bytes.get()
    }
}
