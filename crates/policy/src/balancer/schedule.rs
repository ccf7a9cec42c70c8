//! When time alone calls for something, and the timer for it.

use crate::api::{Action, Micros, Time, TimerToken};

/// The one timer of a balancer.
struct Timer {
    token: TimerToken,
    due_at: Time,
}

/// Times of the event loop.
pub(super) struct Schedule {
    pub last_event_at: Time,
    /// When the time-outs have to be checked next.
    pub next_check_at: Time,
    timer: Timer,
}

impl Schedule {
    pub(super) fn new() -> Schedule {
        Schedule {
            last_event_at: Time(0),
            next_check_at: Time(0),
            timer: Timer { token: TimerToken(0), due_at: Time(u64::MAX) },
        }
    }

    /// The time-outs have to be checked at `at`, or sooner.
    pub(super) fn check_by(&mut self, at: Time) {
        self.next_check_at = self.next_check_at.min(at);
    }

    /// A timer fired; returns whether it is the present one.
    pub(super) fn timer_fired(&mut self, token: TimerToken) -> bool {
        if token != self.timer.token {
            return false;
        }
        self.timer.due_at = Time(u64::MAX);
        true
    }

    /// The timer to set, where the next check comes before the one that is set.
    pub(super) fn timer_to_set(&mut self, now: Time, tick: Micros) -> Option<Action> {
        if self.next_check_at >= self.timer.due_at {
            return None;
        }
        self.timer = Timer { token: TimerToken(self.timer.token.0 + 1), due_at: self.next_check_at };
        Some(Action::SetTimer { token: self.timer.token, after: (self.next_check_at - now).max(tick) })
    }
}
