//! Counts of the open client connections.

use std::cell::Cell;

/// Counts of the open client connections that were not asked to close.
#[derive(Default)]
pub(crate) struct ClientCounts {
    total: Cell<usize>,
    /// Of those, the ones that have not sent a valid request yet.
    without_request: Cell<usize>,
}

impl ClientCounts {
    /// Returns the number of open connections that were not asked to close.
    pub(crate) fn total(&self) -> usize {
        self.total.get()
    }

    /// Returns how many of those have not sent a valid request yet.
    pub(crate) fn without_request(&self) -> usize {
        self.without_request.get()
    }

    /// Returns how many of those have sent a valid request.
    pub(crate) fn with_request(&self) -> usize {
        self.total() - self.without_request()
    }

    /// Counts a connection that was accepted.
    pub(crate) fn record_accepted(&self) {
        self.total.set(self.total.get() + 1);
        self.without_request.set(self.without_request.get() + 1);
    }

    /// Records that a connection has sent its first valid request.
    pub(crate) fn record_first_request(&self) {
        self.without_request.set(self.without_request.get() - 1);
    }

    /// Removes a connection that was asked to close, or has ended without that.
    pub(crate) fn record_closing(&self, has_sent_request: bool) {
        self.total.set(self.total.get() - 1);
        self.without_request.set(self.without_request.get() - usize::from(!has_sent_request));
    }
}
