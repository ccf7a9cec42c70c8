//! Pending requests and their attempts.

use crate::api::{AttemptNo, Backend, BackendId, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Priority below which a request may use only half of the capacity. The rest is reserved for first attempts
/// within quota, whose priority is 1.
pub(crate) const LOW_PRIORITY: f64 = 0.5;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNo,
}

/// The record that a request keeps of one of its attempts.
pub(crate) struct AttemptRecord {
    /// The entry of the backend in the endpoint list at dispatch.
    pub backend: Backend,
    pub sent_at: Time,
    pub in_flight: bool,
    /// Whether the outcome proves that the attempt never ran.
    pub never_ran: bool,
}

/// How the answer of an attempt arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AnswerPace {
    /// It has not paused, or not begun.
    #[default]
    Steady,
    /// It has begun and paused.
    Paused,
    /// It has gone on after a pause.
    Resumed,
}

/// An attempt that has not ended; it may outlive its request.
pub(crate) struct InFlightAttempt {
    pub backend: BackendId,
    pub class: usize,
    /// When it was sent, or when the last byte of its body arrived.
    pub sent_at: Time,
    /// Whether a part of its body has not arrived yet.
    pub uploading: bool,
    /// Whether its answer is being streamed to the client, so that it is not lost however old.
    pub streaming: bool,
    pub answer_pace: AnswerPace,
}

impl InFlightAttempt {
    /// Returns whether it counts as load only until it is old.
    pub(crate) fn is_timed(&self) -> bool {
        !self.uploading && self.answer_pace != AnswerPace::Paused
    }
}

/// A request without a final answer.
pub(crate) struct PendingRequest {
    pub class: usize,
    pub arrived_at: Time,
    /// When the latency objective is exceeded.
    pub objective_at: Time,
    /// When the client gives up.
    pub deadline: Time,
    /// Priority relative to a first attempt within quota, which has 1.
    pub priority: f64,
    /// Maximum number of attempts, by the configuration at its arrival.
    pub max_attempts: usize,
    /// Whether it may have two attempts in flight, by the configuration at its arrival.
    pub allow_hedging: bool,
    /// Whether its body is incomplete, so that no timeout applies to its attempt in flight.
    pub uploading: bool,
    /// Whether its answer is being streamed to the client.
    pub streaming: bool,
    /// Whether an attempt was given up because its answer had paused.
    pub has_replaced_attempt: bool,
    pub attempts: Vec<AttemptRecord>,
}

impl PendingRequest {
    /// Returns whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns whether no attempt can have run.
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
    /// Number of attempts in flight whose answers have paused.
    pub paused: usize,
    /// Pending requests whose answers have paused, to be sent elsewhere once there is retry budget.
    pub awaiting_budget: BTreeSet<RequestId>,
}

impl RequestTable {
    /// Returns the attempts in flight of one request.
    pub(crate) fn attempts_of(&mut self, request: RequestId) -> impl Iterator<Item = &mut InFlightAttempt> {
        let first = AttemptKey { request, attempt: AttemptNo(0) };
        let last = AttemptKey { request, attempt: AttemptNo(u32::MAX) };
        self.in_flight.range_mut(first..=last).map(|(_, attempt)| attempt)
    }
}
