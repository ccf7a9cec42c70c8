//! What has been written of the request that is going out, and whether it may go out at all.

use super::head::HeadEnd;
use std::cell::{Cell, RefCell};

/// Whether a request may still be sent.
pub(crate) type SendGate = Box<dyn Fn() -> bool>;

/// What has been written of the request that is going out.
pub(super) struct OutgoingRequest {
    head_end: HeadEnd,
    /// Bytes of the body still to be written after the head.
    body_bytes_left: Cell<u64>,
    /// Asked before the first byte of a request, as long as none of it is out.
    gate: RefCell<Option<SendGate>>,
    /// The gate said no.
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

    /// What goes out from now on is a new request.
    pub(super) fn begin(&self, body_bytes: Option<u64>, gate: SendGate) {
        self.gate.replace(Some(gate));
        self.withheld.set(false);
        self.head_end.reset();
        self.body_bytes_left.set(body_bytes.unwrap_or(u64::MAX));
    }

    /// The last byte of the request was written.
    pub(super) fn is_written(&self) -> bool {
        self.head_end.is_passed() && self.body_bytes_left.get() == 0
    }

    /// Not a byte of the request went out, as its gate said no.
    pub(super) fn is_withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Asks the gate as long as nothing is out. One that said no is not asked again, and dropped: it may hold on to a
    /// client's connection, and this one may be pooled for long.
    pub(super) fn check_gate(&self) -> bool {
        if self.gate.borrow().as_ref().is_some_and(|may_send| !may_send()) {
            self.withheld.set(true);
            self.gate.take();
        }
        !self.withheld.get()
    }

    /// Takes bytes that were written now.
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
