//! How far a poll has come, and when it has taken too long.

use super::pacing::{MAX_POLL_DURATION, SILENCE_TIMEOUT};
use std::cell::Cell;
use tokio::time::{sleep_until, Instant};

/// When parts of an answer have come.
#[derive(Clone, Copy)]
pub(super) struct ReceivedSpan {
    /// The beginning of the answer.
    pub first: Instant,
    /// The latest part.
    pub last: Instant,
}

/// How far a poll has come.
pub(super) struct Progress {
    /// When the time is over for which discovery may wait for changes.
    pub wait_ends_at: Instant,
    received: Cell<Option<ReceivedSpan>>,
}

impl Progress {
    pub(super) fn new(wait_ends_at: Instant) -> Progress {
        Progress { wait_ends_at, received: Cell::default() }
    }

    /// What has come of the answer; `None` before its beginning.
    pub(super) fn received(&self) -> Option<ReceivedSpan> {
        self.received.get()
    }

    /// Some of the answer has come now.
    pub(super) fn record_received(&self) {
        let now = Instant::now();
        let first = self.received.get().map_or(now, |span| span.first);
        self.received.set(Some(ReceivedSpan { first, last: now }));
    }

    fn silent_since(&self) -> Instant {
        self.received.get().map_or(self.wait_ends_at, |span| span.last)
    }

    /// When the poll has been silent for too long, or goes on for too long.
    fn times_out_at(&self) -> Instant {
        (self.silent_since() + SILENCE_TIMEOUT).min(self.wait_ends_at + MAX_POLL_DURATION)
    }

    /// Ends when the poll has timed out.
    pub(super) async fn timeout(&self) {
        while Instant::now() < self.times_out_at() {
            sleep_until(self.times_out_at()).await;
        }
    }
}
