//! The progress of a poll, shared between the poll and the code that waits for it.

use super::schedule::{PollProgress, ReceivedSpan};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The progress of a poll.
pub(super) struct Progress(Cell<PollProgress>);

impl Progress {
    /// Creates the progress of a poll that is opened now and lets discovery wait for `answer_delay` before it
    /// answers.
    pub(super) fn new(answer_delay: Duration) -> Progress {
        Progress(Cell::new(PollProgress::new(Instant::now(), answer_delay)))
    }

    pub(super) fn get(&self) -> PollProgress {
        self.0.get()
    }

    /// Records that part of the answer was received now.
    pub(super) fn record_received(&self) {
        let now = Instant::now();
        let mut progress = self.0.get();
        let first = progress.received.map_or(now, |span| span.first);
        progress.received = Some(ReceivedSpan { first, last: now });
        self.0.set(progress);
    }

    /// Waits until the poll has timed out.
    pub(super) async fn timeout(&self) {
        while Instant::now() < self.get().times_out_at() {
            sleep_until(self.get().times_out_at()).await;
        }
    }
}
