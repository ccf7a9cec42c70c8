//! The future that resolves when a record is written.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// The result, and the waker of the task that waits for it.
#[derive(Default)]
struct Slot {
    is_durable: Option<bool>,
    waker: Option<Waker>,
}

/// A future that resolves to whether the record is as durable as the mode requires. Clones share the result.
#[derive(Clone, Default)]
pub struct DurableWrite(Arc<Mutex<Slot>>);

impl DurableWrite {
    /// Sets the result and wakes the task that waits for it.
    pub(crate) fn resolve(&self, is_durable: bool) {
        let mut slot = self.slot();
        slot.is_durable = Some(is_durable);
        if let Some(waker) = slot.waker.take() {
            waker.wake();
        }
    }

    /// Locks the slot. Ignores poisoning, because a panic elsewhere cannot leave the slot inconsistent.
    fn slot(&self) -> MutexGuard<'_, Slot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Future for DurableWrite {
    type Output = bool;
    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<bool> {
        let mut slot = self.slot();
        if let Some(is_durable) = slot.is_durable {
            return Poll::Ready(is_durable);
        }
        slot.waker = Some(context.waker().clone());
        Poll::Pending
    }
}
