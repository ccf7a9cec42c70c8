//! Requests that are owed an answer, and their attempts.

use crate::api::{AttemptNo, Backend, BackendId, RequestId, Time};
use std::collections::BTreeMap;

/// Priority below which a request finds only half of the capacity: the rest is kept for first attempts within
/// quota, whose priority is 1.
pub(crate) const LOW_PRIORITY: f64 = 0.5;

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNo,
}

/// What a request remembers of one of its attempts.
pub(crate) struct AttemptRecord {
    /// The backend as it was listed at the dispatch.
    pub backend: Backend,
    pub sent_at: Time,
    pub in_flight: bool,
    /// The outcome proves that the attempt never ran.
    pub never_ran: bool,
}

/// An attempt that has not ended; it may outlive its request.
pub(crate) struct InFlightAttempt {
    pub backend: BackendId,
    pub class: usize,
    /// When it was sent, or the last byte of its body came.
    pub sent_at: Time,
    /// A part of its body is still to come.
    pub uploading: bool,
}

/// A request that is owed an answer.
pub(crate) struct PendingRequest {
    pub class: usize,
    pub arrived_at: Time,
    /// When the latency objective ends.
    pub objective_at: Time,
    /// When the client gives up.
    pub deadline: Time,
    /// Priority relative to a first attempt within quota, which has 1.
    pub priority: f64,
    /// Attempts that it may have, by the configuration under which it came.
    pub max_attempts: usize,
    /// It may have two attempts in flight, by the configuration under which it came.
    pub allow_hedging: bool,
    /// Its body is still coming: no time runs on the attempt in flight.
    pub uploading: bool,
    /// Its answer streams to the client.
    pub streaming: bool,
    pub attempts: Vec<AttemptRecord>,
}

impl PendingRequest {
    /// Some attempt has not ended yet.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// No attempt can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.never_ran)
    }

    pub(crate) fn is_low_priority(&self) -> bool {
        self.priority < LOW_PRIORITY
    }
}

/// The requests and attempts that have not ended.
#[derive(Default)]
pub(crate) struct RequestTable {
    pub pending: BTreeMap<RequestId, PendingRequest>,
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
}

impl RequestTable {
    /// The attempts in flight of one request.
    pub(crate) fn attempts_of(&mut self, request: RequestId) -> impl Iterator<Item = &mut InFlightAttempt> {
        let first = AttemptKey { request, attempt: AttemptNo(0) };
        let last = AttemptKey { request, attempt: AttemptNo(u32::MAX) };
        self.in_flight.range_mut(first..=last).map(|(_, attempt)| attempt)
    }
}
