//! The balancer's timers, and how late they fire.

use lotusdeck_policy::{Micros, Time, TimerToken};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;

/// The recorded lag decays to 15/16 with each timer that fires.
const LAG_DECAY_NUMERATOR: u64 = 15;
const LAG_DECAY_DENOMINATOR: u64 = 16;

/// A timer that is set. The order of the fields is the order in which timers fire.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingTimer {
    due_at: Time,
    token: TimerToken,
}

/// All timers that are set.
#[derive(Default)]
pub(crate) struct Timers {
    pending: RefCell<BinaryHeap<Reverse<PendingTimer>>>,
    earlier_timer_set: Notify,
    /// The largest recent lag, µs, which decays with each timer that fires.
    lag_us: Cell<u64>,
}

impl Timers {
    /// Sets a timer that fires at `due_at` with `token`.
    pub(crate) fn set(&self, due_at: Time, token: TimerToken) {
        let mut pending = self.pending.borrow_mut();
        if pending.peek().is_none_or(|Reverse(first)| due_at < first.due_at) {
            self.earlier_timer_set.notify_one();
        }
        pending.push(Reverse(PendingTimer { due_at, token }));
    }

    /// Returns when the next timer is due.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.pending.borrow().peek().map(|Reverse(first)| first.due_at)
    }

    /// Removes the first timer if it is due at `now`, and returns its token.
    pub(crate) fn take_due(&self, now: Time) -> Option<TimerToken> {
        let mut pending = self.pending.borrow_mut();
        let Reverse(first) = pending.peek().copied()?;
        if first.due_at > now {
            return None;
        }
        pending.pop();
        let decayed_lag_us = self.lag_us.get() * LAG_DECAY_NUMERATOR / LAG_DECAY_DENOMINATOR;
        let lag = now - first.due_at;
        self.lag_us.set(lag.0.max(decayed_lag_us));
        Some(first.token)
    }

    /// Waits until a timer is set that is due before all others.
    pub(crate) async fn earlier_timer_set(&self) {
        self.earlier_timer_set.notified().await;
    }

    /// Returns how late timers currently fire.
    pub(crate) fn lag(&self) -> Micros {
        Micros(self.lag_us.get())
    }
}
