//! How many client connections are open.

use std::cell::Cell;

/// How many client connections are open that were not told to close.
#[derive(Default)]
pub(crate) struct ClientCounts {
    total: Cell<usize>,
    /// Of those, the ones that have not sent a valid request yet.
    without_request: Cell<usize>,
}

impl ClientCounts {
    /// Connections that were not told to close.
    pub(crate) fn total(&self) -> usize {
        self.total.get()
    }

    /// Of those, the ones that have not sent a valid request yet.
    pub(crate) fn without_request(&self) -> usize {
        self.without_request.get()
    }

    /// Of those, the ones that have.
    pub(crate) fn with_request(&self) -> usize {
        self.total() - self.without_request()
    }

    /// A connection was accepted.
    pub(crate) fn record_accepted(&self) {
        self.total.set(self.total.get() + 1);
        self.without_request.set(self.without_request.get() + 1);
    }

    /// A connection has sent its first valid request.
    pub(crate) fn record_first_request(&self) {
        self.without_request.set(self.without_request.get() - 1);
    }

    /// A connection was told to close, or has ended without that.
    pub(crate) fn record_closing(&self, has_sent_request: bool) {
        self.total.set(self.total.get() - 1);
        self.without_request.set(self.without_request.get() - usize::from(!has_sent_request));
    }
}
