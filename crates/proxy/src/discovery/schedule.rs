//! When another poll is opened in parallel to those in flight, which one makes way for it, and when one is given up.
//!
//! A poll on which nothing comes may be lost, or wait its turn at a slow discovery; nothing tells the two apart. The
//! oldest one therefore keeps its turn while newer ones take the other places. Everything here is a function of the
//! polls' progress and the time, without input or output.

use super::pacing::{
    EXTRA_POLL_DELAY, MAX_ANSWER_TIME, MAX_POLLS_IN_FLIGHT, MAX_QUEUE_TIME, MIN_POLL_SPACING, OVERDUE_AFTER,
    SILENCE_TIMEOUT, STALL_TIMEOUT,
};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// When parts of an answer have come.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedSpan {
    /// The beginning of the answer.
    pub first: Instant,
    /// The latest part.
    pub last: Instant,
}

/// How far a poll has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollProgress {
    pub opened_at: Instant,
    /// How long discovery may wait for changes before it answers.
    pub answer_delay: Duration,
    /// What has come of the answer; `None` before its beginning.
    pub received: Option<ReceivedSpan>,
}

/// Why a poll has another one opened in parallel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delay {
    /// Nothing has come on it.
    Silent,
    /// Its answer has begun and is not complete.
    Incomplete,
}

impl fmt::Display for Delay {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Delay::Silent => "silent",
            Delay::Incomplete => "incomplete",
        })
    }
}

impl PollProgress {
    pub(super) fn new(opened_at: Instant, answer_delay: Duration) -> PollProgress {
        PollProgress { opened_at, answer_delay, received: None }
    }

    pub(super) fn delay(&self) -> Delay {
        if self.received.is_some() {
            Delay::Incomplete
        } else {
            Delay::Silent
        }
    }

    fn wait_ends_at(&self) -> Instant {
        self.opened_at + self.answer_delay
    }

    /// When the poll is given up: its answer stalls or takes too long, or does not begin in the longest time that a
    /// poll may wait for its turn.
    pub(super) fn times_out_at(&self) -> Instant {
        let Some(received) = self.received else { return self.wait_ends_at() + MAX_QUEUE_TIME };
        (received.last + STALL_TIMEOUT).min(received.first + MAX_ANSWER_TIME)
    }

    /// When this poll would have another one opened in parallel.
    fn extra_poll_at(&self, is_version_known: bool) -> Instant {
        let Some(received) = self.received else {
            let patience = if self.answer_delay.is_zero() { SILENCE_TIMEOUT } else { OVERDUE_AFTER };
            return self.wait_ends_at() + patience;
        };
        // An answer that still comes is waited for where the other poll would have to ask for the full list as well.
        let from = if is_version_known { received.first } else { received.last };
        from + EXTRA_POLL_DELAY
    }
}

/// When another poll is due in parallel to those in flight, the newest of which was opened at `last_opened_at` and may
/// have failed. `None`: not while these are in flight.
pub(super) fn extra_poll_at(
    in_flight: &[PollProgress], last_opened_at: Instant, is_version_known: bool,
) -> Option<Instant> {
    let due = in_flight.iter().map(|poll| poll.extra_poll_at(is_version_known)).max()?;
    let has_place = in_flight.len() < MAX_POLLS_IN_FLIGHT || superseded(in_flight).is_some();
    has_place.then(|| due.max(last_opened_at + MIN_POLL_SPACING))
}

/// The poll that makes way for another one, oldest first: one on which nothing has come, and not the oldest, which is
/// the first to have its turn.
pub(super) fn superseded(in_flight: &[PollProgress]) -> Option<usize> {
    if in_flight.len() < MAX_POLLS_IN_FLIGHT {
        return None;
    }
    (1..in_flight.len()).find(|&index| in_flight[index].received.is_none())
}

#[cfg(test)]
mod tests;
