//! The records of the ledger.

use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch by the proxy's wall clock, which may step.
pub type Millis = u64;

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// Certainly not processed: no connection was established, the backend rejected the attempt unprocessed, or no byte
    /// was sent.
    NeverSent,
    /// Sent, and answered with this status.
    Answered(u16),
    /// Sent, and ended without an answer: reset, timed out, or abandoned.
    Unanswered,
}

/// One record. Requests are numbered within a generation, which is one run of one process; `at` is always the time of
/// the event. The encoding depends on the order of the variants and fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A request was received from a client.
    Taken {
        /// The request's number.
        request: u64,
        /// The time of its arrival.
        at: Millis,
        /// Its correlation id.
        id: String,
        /// Its class.
        class: String,
        /// The name of the object that it concerns, as given by the client.
        key: String,
    },
    /// An attempt may be sent from now on.
    Intent {
        /// The request's number.
        request: u64,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The time of this record.
        at: Millis,
        /// Its correlation id again, in case the record of its arrival is lost.
        id: String,
        /// The backend's id in the endpoint list.
        backend: String,
        /// The address of the backend.
        address: String,
    },
    /// An attempt ended.
    Ended {
        /// The request's number.
        request: u64,
        /// The attempt's number.
        attempt: u32,
        /// The time of its end.
        at: Millis,
        /// Its outcome.
        end: End,
    },
    /// The client has its final answer or has disconnected; no attempt follows.
    Settled {
        /// The request's number.
        request: u64,
    },
    /// Records were lost between these times, and their requests may have been sent.
    Gap {
        /// When the first record was lost.
        from: Millis,
        /// When writing succeeded again.
        to: Millis,
        /// The number of records lost.
        records: u64,
    },
    /// The process shut down gracefully: no record follows in this generation.
    Closed {
        /// The time of the shutdown.
        at: Millis,
    },
}

impl Record {
    /// Returns the number of the request that the record concerns.
    pub fn request(&self) -> Option<u64> {
        match self {
            Record::Taken { request, .. }
            | Record::Intent { request, .. }
            | Record::Ended { request, .. }
            | Record::Settled { request } => Some(*request),
            Record::Gap { .. } | Record::Closed { .. } => None,
        }
    }

    /// Returns the correlation id that the record contains.
    pub fn id(&self) -> Option<&str> {
        match self {
            Record::Taken { id, .. } | Record::Intent { id, .. } => Some(id),
            _ => None,
        }
    }
}
