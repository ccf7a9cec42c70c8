//! The actions of one event.

use crate::api::{Action, Micros, Time};

/// Minimum time between two log lines.
const LOG_INTERVAL: Micros = Micros(500_000);

/// Collects actions and limits the rate of log lines.
#[derive(Default)]
pub(super) struct Output {
    pub actions: Vec<Action>,
    next_log_at: Time,
}

impl Output {
    /// Adds a log line, unless one was written within [`LOG_INTERVAL`].
    pub(super) fn log(&mut self, now: Time, text: String) {
        if now >= self.next_log_at {
            self.next_log_at = now + LOG_INTERVAL;
            self.actions.push(Action::Log(text));
        }
    }
}
