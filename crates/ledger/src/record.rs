//! What is written down.

use serde::{Deserialize, Serialize};

/// Milliseconds of Unix time by the proxy's clock, which may step.
pub type Millis = u64;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// Proved never to have begun: no connection came up, the backend turned it away unseen, or no byte was written.
    NeverSent,
    /// Answered, with this status.
    Answered(u16),
    /// Sent, and ended without an answer: broken off, timed out, or given up.
    Unanswered,
}

/// One record. Requests are numbered within a generation, which is one start of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A request was taken from a client.
    Taken {
        /// Its number.
        request: u64,
        /// When.
        at: Millis,
        /// Its correlation id.
        id: String,
        /// Its class.
        class: String,
        /// What it concerns.
        key: String,
    },
    /// Its next attempt may write its first byte from now on.
    Intent {
        /// Its number.
        request: u64,
        /// The attempt, from 0.
        attempt: u32,
        /// When.
        at: Millis,
        /// Its correlation id again: the record stands for itself where the one before it is lost.
        id: String,
        /// The backend's id in the list.
        backend: String,
        /// Where that listens.
        address: String,
    },
    /// An attempt ended.
    Ended {
        /// Its number.
        request: u64,
        /// The attempt.
        attempt: u32,
        /// When.
        at: Millis,
        /// How.
        end: End,
    },
    /// The client has its final answer; no attempt follows.
    Settled {
        /// Its number.
        request: u64,
    },
    /// Between these times requests were sent though nothing could be written.
    Gap {
        /// Its beginning.
        from: Millis,
        /// Its end.
        to: Millis,
        /// How many records are missing.
        records: u64,
    },
    /// The process ended in order: nothing follows in this generation.
    Closed {
        /// When.
        at: Millis,
    },
}

impl Record {
    /// The request that it is about.
    pub fn request(&self) -> Option<u64> {
        match self {
            Record::Taken { request, .. }
            | Record::Intent { request, .. }
            | Record::Ended { request, .. }
            | Record::Settled { request } => Some(*request),
            Record::Gap { .. } | Record::Closed { .. } => None,
        }
    }

    /// The correlation id that it holds.
    pub fn id(&self) -> Option<&str> {
        match self {
            Record::Taken { id, .. } | Record::Intent { id, .. } => Some(id),
            _ => None,
        }
    }
}
