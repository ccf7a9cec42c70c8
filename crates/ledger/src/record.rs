//! The records of the journal.

use serde::{Deserialize, Serialize};

/// Milliseconds of Unix time by the proxy's wall clock, which may step.
pub type Millis = u64;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// Certainly not processed: no connection came up, the backend rejected it unprocessed, or no byte was sent.
    NeverSent,
    /// Answered with this status.
    Answered(u16),
    /// Sent, and ended without an answer: reset, timed out, or given up.
    Unanswered,
}

/// One record. Requests are numbered within a generation, which is one start of one process; `at` is always the time
/// of the event. The order of variants and fields is the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A request was received from a client.
    Taken {
        /// The request's number.
        request: u64,
        /// When.
        at: Millis,
        /// Its correlation id.
        id: String,
        /// Its class.
        class: String,
        /// What it concerns, as the client names it.
        key: String,
    },
    /// An attempt may be sent from now on.
    Intent {
        /// The request's number.
        request: u64,
        /// The attempt's number, from 0.
        attempt: u32,
        /// When.
        at: Millis,
        /// Its correlation id again, in case the record of its arrival is lost.
        id: String,
        /// The backend's id in the list.
        backend: String,
        /// Where the backend listens.
        address: String,
    },
    /// An attempt ended.
    Ended {
        /// The request's number.
        request: u64,
        /// The attempt's number.
        attempt: u32,
        /// When.
        at: Millis,
        /// How.
        end: End,
    },
    /// The client has its final answer; no attempt follows.
    Settled {
        /// The request's number.
        request: u64,
    },
    /// Between these times nothing could be written, and requests may have been sent all the same.
    Gap {
        /// When writing began to fail.
        from: Millis,
        /// When writing worked again.
        to: Millis,
        /// How many records are missing.
        records: u64,
    },
    /// The process shut down gracefully: nothing follows in this generation.
    Closed {
        /// When.
        at: Millis,
    },
}

impl Record {
    /// The number of the request that it concerns.
    pub fn request(&self) -> Option<u64> {
        match self {
            Record::Taken { request, .. }
            | Record::Intent { request, .. }
            | Record::Ended { request, .. }
            | Record::Settled { request } => Some(*request),
            Record::Gap { .. } | Record::Closed { .. } => None,
        }
    }

    /// The correlation id that it contains.
    pub fn id(&self) -> Option<&str> {
        match self {
            Record::Taken { id, .. } | Record::Intent { id, .. } => Some(id),
            _ => None,
        }
    }
}
