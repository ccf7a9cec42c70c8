//! Counts of what happens to bodies on their way, for the log.

use std::cell::Cell;
use tracing::info;

/// Counts since the last log line.
#[derive(Default)]
pub(crate) struct ExchangeCounts {
    /// Pauses of answers that had begun.
    pub answers_paused: Cell<u64>,
    /// Those of them that were so long that the backend counted as silent for good.
    pub answers_silent: Cell<u64>,
    /// Attempts that ended because their answer was malformed, too long or cut short.
    pub answers_invalid: Cell<u64>,
    /// Answers that broke off after a part of them was passed on to the client.
    pub answers_broken_off: Cell<u64>,
    /// Attempts that ended because their backend had stopped reading the request.
    pub uploads_stalled: Cell<u64>,
    /// Requests whose time was over before their backend had taken all of their body.
    pub uploads_overdue: Cell<u64>,
    /// Answers of which part was passed on to the client before the rest was received.
    pub answers_streamed: Cell<u64>,
    /// Requests that were sent before their body was received completely.
    pub uploads_streamed: Cell<u64>,
}

/// Adds one to a count.
pub(crate) fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl ExchangeCounts {
    /// Logs the counts since the last call, beside the bytes of buffered bodies.
    pub(crate) fn log(&self, buffered_bytes: usize) {
        info!(
            buffered_bytes,
            answers_streamed = self.answers_streamed.take(),
            answers_paused = self.answers_paused.take(),
            answers_silent = self.answers_silent.take(),
            answers_invalid = self.answers_invalid.take(),
            answers_broken_off = self.answers_broken_off.take(),
            uploads_streamed = self.uploads_streamed.take(),
            uploads_stalled = self.uploads_stalled.take(),
            uploads_overdue = self.uploads_overdue.take(),
            "bodies"
        );
    }
}
