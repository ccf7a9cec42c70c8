//! When another poll is opened in parallel to those in flight, which one is dropped for it, and when a poll is given
//! up.
//!
//! A poll on which nothing is received may be lost or may be queued at a slow discovery; a proxy cannot tell which.
//! The oldest poll therefore keeps its place in the queue while newer ones use the other slots. Everything here is a
//! function of the polls' progress and the time, without I/O.

use super::pacing::{
    EXTRA_POLL_DELAY, MAX_ANSWER_TIME, MAX_POLLS_IN_FLIGHT, MAX_QUEUE_TIME, MIN_POLL_SPACING, OVERDUE_AFTER,
    SILENCE_TIMEOUT, STALL_TIMEOUT,
};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// When parts of an answer were received.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedSpan {
    /// When the answer began.
    pub first: Instant,
    /// When its latest part was received.
    pub last: Instant,
}

/// The progress of a poll.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollProgress {
    pub opened_at: Instant,
    /// How long discovery may wait for changes before it answers.
    pub answer_delay: Duration,
    /// When parts of the answer were received; `None` before it begins.
    pub received: Option<ReceivedSpan>,
}

/// Why another poll is opened in parallel to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DelayReason {
    /// Nothing was received on it.
    Silent,
    /// Its answer has begun but is not complete.
    Incomplete,
}

impl fmt::Display for DelayReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DelayReason::Silent => "silent",
            DelayReason::Incomplete => "incomplete",
        })
    }
}

impl PollProgress {
    pub(super) fn new(opened_at: Instant, answer_delay: Duration) -> PollProgress {
        PollProgress { opened_at, answer_delay, received: None }
    }

    pub(super) fn delay_reason(&self) -> DelayReason {
        if self.received.is_some() {
            DelayReason::Incomplete
        } else {
            DelayReason::Silent
        }
    }

    fn wait_ends_at(&self) -> Instant {
        self.opened_at + self.answer_delay
    }

    /// Returns when the poll is given up: its answer stalls or takes too long, or does not begin within the longest
    /// time that a poll may be queued.
    pub(super) fn times_out_at(&self) -> Instant {
        let Some(received) = self.received else { return self.wait_ends_at() + MAX_QUEUE_TIME };
        (received.last + STALL_TIMEOUT).min(received.first + MAX_ANSWER_TIME)
    }

    /// Returns when another poll may be opened in parallel to this one.
    fn extra_poll_at(&self, is_version_known: bool) -> Instant {
        let Some(received) = self.received else {
            let silence_timeout = if self.answer_delay.is_zero() { SILENCE_TIMEOUT } else { OVERDUE_AFTER };
            return self.wait_ends_at() + silence_timeout;
        };
        // Without a known version the other poll would have to request the full list as well, so an answer is waited
        // for as long as more of it arrives.
        let from = if is_version_known { received.first } else { received.last };
        from + EXTRA_POLL_DELAY
    }
}

/// Returns when another poll is due in parallel to those in flight. `last_opened_at` is when the newest poll was
/// opened, which may have failed since. `None`: no other poll is opened as long as these are in flight.
pub(super) fn extra_poll_at(
    in_flight: &[PollProgress], last_opened_at: Instant, is_version_known: bool,
) -> Option<Instant> {
    let due = in_flight.iter().map(|poll| poll.extra_poll_at(is_version_known)).max()?;
    let has_slot = in_flight.len() < MAX_POLLS_IN_FLIGHT || superseded(in_flight).is_some();
    has_slot.then(|| due.max(last_opened_at + MIN_POLL_SPACING))
}

/// Returns the index of the poll that is dropped for another one: the oldest on which nothing was received, but never
/// the first, which is ahead in discovery's queue. `None` if there is a free slot or no such poll.
pub(super) fn superseded(in_flight: &[PollProgress]) -> Option<usize> {
    if in_flight.len() < MAX_POLLS_IN_FLIGHT {
        return None;
    }
    (1..in_flight.len()).find(|&index| in_flight[index].received.is_none())
}

#[cfg(test)]
mod tests;
