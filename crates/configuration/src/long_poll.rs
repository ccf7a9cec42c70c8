//! The bounded queue of open polls of a source: polls that wait for a later version, and polls whose answer is being
//! sent.
//!
//! Each follower has at most one poll. All followers that get the same answer share its text, so a slow follower costs
//! the source a pointer and a queue entry until its timeout, and does not delay other followers.

use crate::poll::Poll;
use crate::source::{Source, SourceAnswer};
use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Bounds of a queue of long polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// Maximum followers with an open poll: more than three times the planned 1,200.
    pub max_followers: usize,
    /// Time within which a follower has to receive its answer completely; after that its connection is closed.
    pub answer_timeout: Duration,
    /// Maximum bytes of all answers being sent; an answer to several followers counts once.
    pub max_buffered_bytes: usize,
    /// Maximum followers that receive an answer of more than [`LARGE_ANSWER_BYTES`] at a time; others get
    /// [`PollReply::Busy`]. Without this bound, if all followers request the full document at once, each gets such a
    /// small share of the source's bandwidth that none receives the document before the timeout.
    pub max_large_answers: usize,
    /// Maximum wait of a poll; longer requested waits are shortened to it.
    pub max_wait: Duration,
}

impl Default for QueueBounds {
    fn default() -> QueueBounds {
        QueueBounds {
            max_followers: 4_096,
            answer_timeout: Duration::from_secs(15),
            max_buffered_bytes: 256 * 1024 * 1024,
            max_large_answers: 64,
            max_wait: Duration::from_secs(30),
        }
    }
}

/// Answers of more bytes count as large; a delta of hundreds of entries is smaller.
pub const LARGE_ANSWER_BYTES: usize = 64 * 1024;

/// Identifies a follower's connection; assigned by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerId(pub u64);

/// The reply to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollReply {
    /// Write this answer, and report the progress with [`LongPollQueue::bytes_written`].
    Write(Arc<str>),
    /// The poll waits for a later version; there is nothing to write yet.
    Parked,
    /// There is no capacity: report that the source is busy, and close the connection.
    Busy,
}

/// What the driver has to do for a follower whose wait or answer timeout has expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The wait of the poll has ended: write this answer.
    Write {
        /// The follower.
        follower: FollowerId,
        /// The message that there is no later version.
        answer: Arc<str>,
    },
    /// The follower has not received its answer in time, or there is no capacity for an answer: close its connection.
    Close {
        /// The follower.
        follower: FollowerId,
    },
}

#[derive(Debug)]
enum PollState {
    Parked { poll: Poll, expires_at: Duration },
    Writing { answer: Arc<str>, written_bytes: usize, expires_at: Duration },
}

impl PollState {
    fn expires_at(&self) -> Duration {
        match self {
            PollState::Parked { expires_at, .. } | PollState::Writing { expires_at, .. } => *expires_at,
        }
    }

    fn is_large_answer(&self) -> bool {
        matches!(self, PollState::Writing { answer, .. } if answer.len() > LARGE_ANSWER_BYTES)
    }
}

/// All open polls of a source.
#[derive(Debug)]
pub struct LongPollQueue {
    bounds: QueueBounds,
    polls: BTreeMap<FollowerId, PollState>,
    /// Answers that may still be in transmission, without duplicates.
    answers: Vec<Weak<str>>,
}

impl LongPollQueue {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> LongPollQueue {
        LongPollQueue { bounds, polls: BTreeMap::new(), answers: Vec::new() }
    }

    /// Returns the number of followers with an open poll.
    pub fn len(&self) -> usize {
        self.polls.len()
    }

    /// Returns whether no follower has an open poll.
    pub fn is_empty(&self) -> bool {
        self.polls.is_empty()
    }

    /// Returns the bytes of all answers that are being sent, or that were sent and are still cached by the source.
    pub fn buffered_bytes(&mut self) -> usize {
        self.answers.retain(|answer| answer.strong_count() > 0);
        self.answers.iter().filter_map(Weak::upgrade).map(|answer| answer.len()).sum()
    }

    /// Handles a follower's poll. A poll while the previous one is still open violates the protocol and gets
    /// [`PollReply::Busy`].
    pub fn poll(&mut self, source: &mut Source, now: Duration, id: FollowerId, poll: Poll) -> PollReply {
        if self.polls.len() >= self.bounds.max_followers || self.polls.contains_key(&id) {
            return PollReply::Busy;
        }
        match source.answer_poll(&poll) {
            SourceAnswer::Now(answer) => self.start_answer(now, id, answer),
            SourceAnswer::Later => {
                let expires_at = now + poll.wait.min(self.bounds.max_wait);
                self.polls.insert(id, PollState::Parked { poll, expires_at });
                PollReply::Parked
            }
        }
    }

    fn start_answer(&mut self, now: Duration, id: FollowerId, answer: Arc<str>) -> PollReply {
        if !self.reserve_capacity(&answer) {
            self.polls.remove(&id);
            return PollReply::Busy;
        }
        let expires_at = now + self.bounds.answer_timeout;
        self.polls.insert(id, PollState::Writing { answer: answer.clone(), written_bytes: 0, expires_at });
        PollReply::Write(answer)
    }

    /// Returns whether one more follower may receive this answer, and if so counts the answer as being sent.
    fn reserve_capacity(&mut self, answer: &Arc<str>) -> bool {
        let is_large = answer.len() > LARGE_ANSWER_BYTES;
        if is_large && self.large_answers() >= self.bounds.max_large_answers {
            return false;
        }
        if self.answers.iter().any(|known| std::ptr::addr_eq(known.as_ptr(), Arc::as_ptr(answer))) {
            return true;
        }
        if self.buffered_bytes() + answer.len() > self.bounds.max_buffered_bytes {
            return false;
        }
        self.answers.push(Arc::downgrade(answer));
        true
    }

    fn large_answers(&self) -> usize {
        self.polls.values().filter(|state| state.is_large_answer()).count()
    }

    /// Returns the replies to waiting polls after the source has published a version.
    pub fn publish(&mut self, source: &mut Source, now: Duration) -> Vec<(FollowerId, PollReply)> {
        let parked_poll = |(id, state): (&FollowerId, &PollState)| match state {
            PollState::Parked { poll, .. } => Some((*id, *poll)),
            PollState::Writing { .. } => None,
        };
        let parked: Vec<(FollowerId, Poll)> = self.polls.iter().filter_map(parked_poll).collect();
        let mut replies = Vec::new();
        for (id, poll) in parked {
            if let SourceAnswer::Now(answer) = source.answer_poll(&poll) {
                replies.push((id, self.start_answer(now, id, answer)));
            }
        }
        replies
    }

    /// Records that `bytes` more bytes of the answer were written; after the last one the follower may poll again.
    pub fn bytes_written(&mut self, id: FollowerId, bytes: usize) {
        if let Some(PollState::Writing { answer, written_bytes, .. }) = self.polls.get_mut(&id) {
            *written_bytes += bytes;
            if *written_bytes >= answer.len() {
                self.polls.remove(&id);
            }
        }
    }

    /// Removes the poll of a follower whose connection was closed.
    pub fn disconnect(&mut self, id: FollowerId) {
        self.polls.remove(&id);
    }

    /// Ends the waits and answers whose time has expired, and returns what the driver has to do for each follower.
    pub fn expire(&mut self, source: &Source, now: Duration) -> Vec<Eviction> {
        let expired = self.polls.iter().filter(|(_, state)| state.expires_at() <= now);
        let expired: Vec<FollowerId> = expired.map(|(id, _)| *id).collect();
        let unchanged = source.unchanged_message();
        expired.into_iter().map(|id| self.evict(now, id, &unchanged)).collect()
    }

    fn evict(&mut self, now: Duration, follower: FollowerId, unchanged: &Arc<str>) -> Eviction {
        let Some(PollState::Parked { .. }) = self.polls.remove(&follower) else {
            return Eviction::Close { follower };
        };
        match self.start_answer(now, follower, unchanged.clone()) {
            PollReply::Write(answer) => Eviction::Write { follower, answer },
            PollReply::Parked | PollReply::Busy => Eviction::Close { follower },
        }
    }
}
