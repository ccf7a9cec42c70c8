//! The module's timers, and how late they fire.

use lotusdeck_policy::{Micros, Time, TimerToken};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;

/// A timer's lateness fades by this part with each later one, in sixteenths.
const FADE: u64 = 15;

#[derive(Default)]
pub(crate) struct Timers {
    heap: RefCell<BinaryHeap<Reverse<(Time, TimerToken)>>>,
    earlier_timer_set: Notify,
    /// How late timers fire: the largest of late, fading.
    lag: Cell<u64>,
}

impl Timers {
    pub(crate) fn set(&self, at: Time, token: TimerToken) {
        let mut heap = self.heap.borrow_mut();
        if heap.peek().is_none_or(|first| at < first.0 .0) {
            self.earlier_timer_set.notify_one();
        }
        heap.push(Reverse((at, token)));
    }

    /// When the next one is due.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.heap.borrow().peek().map(|t| t.0 .0)
    }

    /// One that is due at `now`.
    pub(crate) fn take_due(&self, now: Time) -> Option<TimerToken> {
        let mut heap = self.heap.borrow_mut();
        let Reverse((at, token)) = heap.peek().copied().filter(|t| t.0 .0 <= now)?;
        heap.pop();
        self.lag.set((now - at).0.max(self.lag.get() * FADE / 16));
        Some(token)
    }

    /// Until one is set that is due before all others.
    pub(crate) async fn earlier_timer_set(&self) {
        self.earlier_timer_set.notified().await;
    }

    pub(crate) fn lag(&self) -> Micros {
        Micros(self.lag.get())
    }
}
