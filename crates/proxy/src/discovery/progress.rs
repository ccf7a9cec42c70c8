//! How far a poll has come, shared between the poll and those who wait for it.

use super::schedule::{PollProgress, ReceivedSpan};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How far a poll has come.
pub(super) struct Progress(Cell<PollProgress>);

impl Progress {
    /// Of a poll that is opened now, where discovery may wait so long with its answer.
    pub(super) fn new(answer_delay: Duration) -> Progress {
        Progress(Cell::new(PollProgress::new(Instant::now(), answer_delay)))
    }

    pub(super) fn get(&self) -> PollProgress {
        self.0.get()
    }

    /// Some of the answer has come now.
    pub(super) fn record_received(&self) {
        let now = Instant::now();
        let mut progress = self.0.get();
        let first = progress.received.map_or(now, |span| span.first);
        progress.received = Some(ReceivedSpan { first, last: now });
        self.0.set(progress);
    }

    /// Ends when the poll has timed out.
    pub(super) async fn timeout(&self) {
        while Instant::now() < self.get().times_out_at() {
            sleep_until(self.get().times_out_at()).await;
        }
    }
}
