//! Watches an answer for pauses.

use crate::exchange_counts::{increment, ExchangeCounts};
use crate::stream::Stream;
use lotusdeck_core::{AnswerPace, AnswerProgress, EarlyAnswer};
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::Instant;

/// Watches the answer to one attempt for pauses, and reports them. A pause by itself ends nothing: the answer may be
/// malformed, so that its end never comes, its backend may be silent for good, or it may be sound and slow.
pub(crate) struct PauseWatch<'a> {
    pub stream: &'a Stream,
    /// Set by others once an answer of status 1xx was received, which does not count as the beginning of the answer.
    pub informational: &'a AtomicBool,
    /// The time without a byte after which an answer has paused.
    pub pause: Duration,
    /// The time without a byte after which its backend counts as silent for good.
    pub silence: Duration,
    pub early_answer: &'a EarlyAnswer,
    pub report: &'a dyn Fn(AnswerProgress),
    pub counts: &'a ExchangeCounts,
}

impl PauseWatch<'_> {
    /// Reports each pause and its end. Never returns.
    pub(crate) async fn run(&self) -> Infallible {
        loop {
            self.stream.wait_for_first_byte().await;
            let started_at = Instant::now();
            tokio::time::sleep_until(started_at + self.pause).await;
            if self.stream.last_read_at() > started_at {
                self.early_answer.request_if_large();
            }
            self.wait_for_pause().await;
            if self.informational.swap(false, Relaxed) {
                self.stream.mark_idle();
                continue;
            }
            increment(&self.counts.answers_paused);
            self.early_answer.record_pace(AnswerPace::Paused);
            (self.report)(AnswerProgress::Paused);
            self.wait_for_resumption().await;
            self.early_answer.record_pace(AnswerPace::Flowing);
            (self.report)(AnswerProgress::Resumed);
        }
    }

    async fn wait_for_pause(&self) {
        loop {
            let pauses_at = self.stream.last_read_at() + self.pause;
            if Instant::now() >= pauses_at {
                return;
            }
            tokio::time::sleep_until(pauses_at).await;
        }
    }

    /// Waits until more is read, and records that the backend is silent if that takes too long.
    async fn wait_for_resumption(&self) {
        let silent_at = self.stream.last_read_at() + self.silence;
        let mut more = std::pin::pin!(self.stream.wait_for_more());
        tokio::select! {
            biased;
            () = more.as_mut() => return,
            () = tokio::time::sleep_until(silent_at) => {}
        }
        increment(&self.counts.answers_silent);
        self.early_answer.record_pace(AnswerPace::Silent);
        more.await;
    }
}
