//! The bounded buffers of a source for its followers: who waits for something later, and who takes an answer.
//!
//! A follower has one question at a time, and its answer is shared with all others that get the same, so that a slow one
//! holds a pointer and a place until its time is over, and no other waits for it.

use crate::follower::Poll;
use crate::source::{Source, SourceAnswer};
use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Bounds of a desk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// Followers with a question at a time: three times the 1,200 planned for.
    pub followers: usize,
    /// An answer that was not taken whole by then is given up.
    pub answer_within: Duration,
    /// Bytes of all answers that are on their way; one that many followers take counts once.
    pub bytes: usize,
    /// Followers that take an answer of over [`LARGE_ANSWER_BYTES`] bytes at a time; the others are told to come again. Without
    /// it, where all ask for the whole document at once, each gets so small a part of the source's line that none
    /// has all of it in time, and every byte of it is sent in vain.
    pub max_large: usize,
    /// The longest wait of a question, whatever it asks for.
    pub max_wait: Duration,
}

impl Default for QueueBounds {
    fn default() -> QueueBounds {
        QueueBounds {
            followers: 4_096,
            answer_within: Duration::from_secs(15),
            bytes: 256 * 1024 * 1024,
            max_large: 64,
            max_wait: Duration::from_secs(30),
        }
    }
}

/// Beyond so many bytes an answer counts as large: a delta of hundreds of entries is smaller.
pub const LARGE_ANSWER_BYTES: usize = 64 * 1024;

/// A connection of a follower, as the driver numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerId(pub u64);

/// What becomes of a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollReply {
    /// Write this, and tell how far it is by [`LongPollQueue::written`].
    Write(Arc<str>),
    /// Nothing yet.
    Parked,
    /// There is no room: say so and close.
    Busy,
}

/// What became of a follower whose time is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Its wait: write this.
    Write(FollowerId, Arc<str>),
    /// The time for taking its answer: close its connection.
    Close(FollowerId),
}

#[derive(Debug)]
enum PollState {
    Parked { ask: Poll, until: Duration },
    Writing { answer: Arc<str>, written: usize, until: Duration },
}

/// Followers with a question.
#[derive(Debug)]
pub struct LongPollQueue {
    bounds: QueueBounds,
    turns: BTreeMap<FollowerId, PollState>,
    /// Answers that may still be on their way.
    answers: Vec<Weak<str>>,
}

impl LongPollQueue {
    /// For no follower yet.
    pub fn new(bounds: QueueBounds) -> LongPollQueue {
        LongPollQueue { bounds, turns: BTreeMap::new(), answers: Vec::new() }
    }

    /// Followers with a question.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Nobody has a question.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Bytes of all answers that are on their way.
    pub fn buffered_bytes(&mut self) -> usize {
        self.answers.retain(|answer| answer.strong_count() > 0);
        self.answers.iter().filter_map(Weak::upgrade).map(|answer| answer.len()).sum()
    }

    /// A follower asks. One that asks while its answer is on its way breaks the protocol, and is closed.
    pub fn poll(&mut self, source: &mut Source, now: Duration, id: FollowerId, ask: Poll) -> PollReply {
        if self.turns.len() >= self.bounds.followers || self.turns.contains_key(&id) {
            return PollReply::Busy;
        }
        match source.answer_poll(&ask) {
            SourceAnswer::Now(answer) => self.write(now, id, answer),
            SourceAnswer::Later => {
                let until = now + ask.wait.min(self.bounds.max_wait);
                self.turns.insert(id, PollState::Parked { ask, until });
                PollReply::Parked
            }
        }
    }

    fn write(&mut self, now: Duration, id: FollowerId, answer: Arc<str>) -> PollReply {
        if !self.room_for(&answer) {
            self.turns.remove(&id);
            return PollReply::Busy;
        }
        let until = now + self.bounds.answer_within;
        self.turns.insert(id, PollState::Writing { answer: answer.clone(), written: 0, until });
        PollReply::Write(answer)
    }

    /// One more follower may take this answer; it counts as being on its way from now on.
    fn room_for(&mut self, answer: &Arc<str>) -> bool {
        let large = |turn: &&PollState| matches!(turn, PollState::Writing { answer, .. } if answer.len() > LARGE_ANSWER_BYTES);
        if answer.len() > LARGE_ANSWER_BYTES
            && self.turns.values().filter(large).count() >= self.bounds.max_large
        {
            return false;
        }
        if self.answers.iter().any(|known| std::ptr::addr_eq(known.as_ptr(), Arc::as_ptr(answer))) {
            return true;
        }
        if self.buffered_bytes() + answer.len() > self.bounds.bytes {
            return false;
        }
        self.answers.push(Arc::downgrade(answer));
        true
    }

    /// The source has published: what each follower that waited gets.
    pub fn publish(&mut self, source: &mut Source, now: Duration) -> Vec<(FollowerId, PollReply)> {
        let mut replies = Vec::new();
        let waiting = |(id, turn): (&FollowerId, &PollState)| match turn {
            PollState::Parked { ask, .. } => Some((*id, *ask)),
            PollState::Writing { .. } => None,
        };
        let parked: Vec<(FollowerId, Poll)> = self.turns.iter().filter_map(waiting).collect();
        for (id, ask) in parked {
            if let SourceAnswer::Now(answer) = source.answer_poll(&ask) {
                replies.push((id, self.write(now, id, answer)));
            }
        }
        replies
    }

    /// So many more bytes of its answer were taken; with the last one the follower may ask again.
    pub fn bytes_written(&mut self, id: FollowerId, bytes: usize) {
        if let Some(PollState::Writing { answer, written, .. }) = self.turns.get_mut(&id) {
            *written += bytes;
            if *written >= answer.len() {
                self.turns.remove(&id);
            }
        }
    }

    /// Its connection has ended.
    pub fn disconnect(&mut self, id: FollowerId) {
        self.turns.remove(&id);
    }

    /// Followers whose time is over.
    pub fn expire(&mut self, source: &Source, now: Duration) -> Vec<Eviction> {
        let over = |(id, turn): (&FollowerId, &PollState)| match turn {
            PollState::Parked { until, .. } if *until <= now => Some((*id, true)),
            PollState::Writing { until, .. } if *until <= now => Some((*id, false)),
            _ => None,
        };
        let over: Vec<(FollowerId, bool)> = self.turns.iter().filter_map(over).collect();
        let mut told = Vec::new();
        let unchanged = source.unchanged_message();
        for (id, waited) in over {
            self.turns.remove(&id);
            match waited.then(|| self.write(now, id, unchanged.clone())) {
                Some(PollReply::Write(answer)) => told.push(Eviction::Write(id, answer)),
                _ => told.push(Eviction::Close(id)),
            }
        }
        told
    }
}
