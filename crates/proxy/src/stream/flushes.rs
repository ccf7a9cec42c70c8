//! When the bytes that hyper buffers for a stream have all been written to its socket.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Counts the flushes of a stream: hyper flushes it each time its own buffer has become empty.
#[derive(Default)]
pub(super) struct Flushes {
    count: Cell<u64>,
    /// The task that waits for the next flush.
    waiting: RefCell<Option<Waker>>,
}

impl Flushes {
    /// Records a flush and wakes the task that waits for it.
    pub(super) fn record(&self) {
        self.count.set(self.count.get() + 1);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    /// Returns the number of flushes so far.
    pub(super) fn count(&self) -> u64 {
        self.count.get()
    }

    /// Polls until there were more than `count` flushes. Only the task that polled last is woken.
    pub(super) fn poll_more_than(&self, count: u64, cx: &Context<'_>) -> Poll<()> {
        if self.count.get() > count {
            return Poll::Ready(());
        }
        self.waiting.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}
