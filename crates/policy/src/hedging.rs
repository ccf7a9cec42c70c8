//! Timeouts of requests: when an attempt counts as lost, so that another one is sent in parallel or after it
//! was cancelled, and when a request is given up.

use crate::answer_loss::AnswerLoss;
use crate::api::{BackendId, Config, Micros, SideEffects, Time};
use crate::backend_health::BackendHealth;
use crate::estimates::Estimates;
use crate::requests::{AttemptRecord, PendingRequest};
use std::collections::BTreeMap;

/// The next step for a request according to its timeouts.
pub(crate) enum RequestStep {
    Wait,
    /// The request can no longer be served in time.
    GiveUp,
    /// Its attempts look lost: a hedged attempt may be sent.
    Hedge,
    /// Its attempt looks lost and hedging is not allowed: the attempt is cancelled so that another one can be
    /// sent.
    CancelLost,
}

/// The result of checking one request.
pub(crate) struct RequestCheck {
    pub step: RequestStep,
    /// When to check the request again.
    pub next_check_at: Time,
}

/// The inputs of a check.
pub(crate) struct TimeoutContext<'a> {
    pub now: Time,
    pub config: &'a Config,
    pub estimates: &'a Estimates,
    pub answer_loss: &'a AnswerLoss,
    pub backends: &'a BTreeMap<BackendId, BackendHealth>,
    /// Whether the retry budget allows another attempt.
    pub may_retry: bool,
}

impl TimeoutContext<'_> {
    /// Checks one request; returns `None` if no timeout applies to it.
    pub(crate) fn check(&self, request: &PendingRequest) -> Option<RequestCheck> {
        let has_attempt_in_flight = request.has_attempt_in_flight();
        if request.streaming || request.uploading && has_attempt_in_flight {
            return None;
        }
        let usual_latency = self.estimates.usual_latency(self.config, request.class);
        let waits_for_late_answer = self.waits_for_late_answer(request);
        // At the tick of the deadline itself it would be too late to answer.
        let (answer_due_at, margin) = if has_attempt_in_flight {
            (request.deadline, self.config.tick)
        } else {
            (
                self.answer_due_at(request, usual_latency, waits_for_late_answer),
                usual_latency.max(self.config.tick),
            )
        };
        let step = if self.now + margin >= answer_due_at {
            RequestStep::GiveUp
        } else if self.may_retry
            && self.is_lost(request, usual_latency)
            && self.may_be_answered_in_time(request)
        {
            self.replace_lost(request)
        } else {
            RequestStep::Wait
        };
        Some(RequestCheck { step, next_check_at: answer_due_at - margin })
    }

    /// Returns whether to wait for an answer after the latency objective: it has some value, and the request
    /// may have run, so that its client gains nothing from an early failure.
    fn waits_for_late_answer(&self, request: &PendingRequest) -> bool {
        self.config.classes[request.class].late_value_factor > 0.0 && !request.never_ran()
    }

    /// Returns when a request without an attempt in flight has to be answered. If a late answer has no value,
    /// the request is given up once it cannot meet its objective, and before half of its time is over, while
    /// a rejection still does no harm.
    fn answer_due_at(
        &self, request: &PendingRequest, usual_latency: Micros, waits_for_late_answer: bool,
    ) -> Time {
        if waits_for_late_answer {
            return request.deadline;
        }
        let half_time = (request.deadline - request.arrived_at).times(0.5);
        let half = request.arrived_at + half_time + usual_latency - self.config.tick;
        request.objective_at.min(half).min(request.deadline)
    }

    /// Returns whether all attempts in flight look lost. The age of an attempt is considered only while
    /// answers are being lost: otherwise an old attempt is probably a heavy request, and copies of those
    /// overload backends.
    fn is_lost(&self, request: &PendingRequest, usual_latency: Micros) -> bool {
        let loss_timeout = self.answer_loss.loss_timeout(usual_latency);
        let is_losing = self.answer_loss.is_losing();
        let is_old = |attempt: &AttemptRecord| is_losing && self.now >= attempt.sent_at + loss_timeout;
        let is_on_ejected = |attempt: &AttemptRecord| {
            self.backends.get(&attempt.backend.id).is_none_or(|backend| backend.ejection.until.is_some())
        };
        request.has_attempt_in_flight()
            && request.attempts.iter().all(|a| !a.in_flight || is_on_ejected(a) || is_old(a))
    }

    /// Returns whether another attempt is likely to be answered in time.
    pub(crate) fn may_be_answered_in_time(&self, request: &PendingRequest) -> bool {
        let usual_latency = self.estimates.usual_latency(self.config, request.class);
        let expected_end = self.now + usual_latency;
        expected_end < request.objective_at
            || self.waits_for_late_answer(request) && expected_end < request.deadline
    }

    fn replace_lost(&self, request: &PendingRequest) -> RequestStep {
        let is_non_idempotent = self.config.classes[request.class].side_effects == SideEffects::NonIdempotent;
        if request.allow_hedging {
            RequestStep::Hedge
        } else if self.config.attempts.allow_cancel && !is_non_idempotent {
            RequestStep::CancelLost
        } else {
            RequestStep::Wait
        }
    }
}
