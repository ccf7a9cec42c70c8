//! The time of the next check of the timeouts, and the timer that triggers it.

use crate::api::{Action, Micros, Time, TimerToken};

/// The one timer of a balancer.
struct Timer {
    token: TimerToken,
    due_at: Time,
}

/// Times of the event loop.
pub(super) struct Schedule {
    pub last_event_at: Time,
    /// When the timeouts are checked next.
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

    /// Schedules the next check of the timeouts at `at`, unless it is due earlier.
    pub(super) fn schedule_check(&mut self, at: Time) {
        self.next_check_at = self.next_check_at.min(at);
    }

    /// Handles the expiry of a timer; returns whether it is the current one.
    pub(super) fn timer_fired(&mut self, token: TimerToken) -> bool {
        if token != self.timer.token {
            return false;
        }
        self.timer.due_at = Time(u64::MAX);
        true
    }

    /// Returns an action that sets a timer for the next check, unless the current timer expires no later.
    pub(super) fn timer_to_set(&mut self, now: Time, tick: Micros) -> Option<Action> {
        if self.next_check_at >= self.timer.due_at {
            return None;
        }
        self.timer = Timer { token: TimerToken(self.timer.token.0 + 1), due_at: self.next_check_at };
        Some(Action::SetTimer { token: self.timer.token, after: (self.next_check_at - now).max(tick) })
    }
}
