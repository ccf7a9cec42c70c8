//! Answers that are given to the front before they are complete.

use std::cell::Cell;
use std::convert::Infallible;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The time by which an answer that still arrives goes ahead of one that has paused.
const PAUSED_ANSWER_DELAY: Duration = Duration::from_millis(2);

/// What the head of an answer tells of its length, where the answer may be given to the front before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerLength {
    /// It is too long to be kept whole.
    Large,
    /// It is not known.
    Unknown,
}

/// How an answer arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerPace {
    /// Its last part has just arrived, or it has not begun.
    #[default]
    Flowing,
    /// Nothing has arrived for a while, and more may come.
    Paused,
    /// Nothing has arrived for so long that its backend counts as silent for good.
    Silent,
}

/// Whether the answer of an attempt has begun, and is given to the front before it is complete: cutting off one that may
/// be long would lose what its backend is still writing.
#[derive(Default)]
pub struct EarlyAnswer {
    /// The length of an answer that has begun and may be given to the front.
    begun: Cell<Option<AnswerLength>>,
    pace: Cell<AnswerPace>,
    is_requested: Cell<bool>,
    /// Notified when the answer may have become due.
    changed: Notify,
}

impl EarlyAnswer {
    /// Records that an answer has begun that may be given to the front before it is complete.
    pub fn record_begun(&self, length: AnswerLength) {
        self.begun.set(Some(length));
        self.changed.notify_one();
    }

    /// Records how the answer arrives.
    pub fn record_pace(&self, pace: AnswerPace) {
        self.pace.set(pace);
        self.changed.notify_one();
    }

    /// Returns how the answer arrives.
    pub fn pace(&self) -> AnswerPace {
        self.pace.get()
    }

    /// Returns whether an answer is under way that may be given to the front: one has begun, and its backend does not
    /// count as silent.
    pub fn is_under_way(&self) -> bool {
        self.begun.get().is_some() && self.pace.get() != AnswerPace::Silent
    }

    /// Requests that the answer is given to the front, now or as soon as one is under way.
    pub fn request(&self) {
        self.is_requested.set(true);
        self.changed.notify_one();
    }

    /// Requests that the answer is given to the front if it is known to be a large one: it has arrived for a while without a
    /// pause.
    pub fn request_if_large(&self) {
        if self.begun.get() == Some(AnswerLength::Large) {
            self.request();
        }
    }

    /// Requests at the time `at` that the answer is given to the front. Never returns.
    pub async fn request_at(&self, at: Instant) -> Infallible {
        tokio::time::sleep_until(at).await;
        if self.pace.get() == AnswerPace::Paused {
            tokio::time::sleep(PAUSED_ANSWER_DELAY).await;
        }
        self.request();
        std::future::pending::<Infallible>().await
    }

    /// Waits until the answer is to be given to the front, if it may be.
    pub async fn due(&self) {
        while !(self.is_requested.get() && self.is_under_way()) {
            self.changed.notified().await;
        }
    }
}
