//! Time-outs of requests: when an attempt counts as lost and another one is sent beside it or in its place,
//! and when a request is given up.

use crate::answer_loss::AnswerLoss;
use crate::api::{BackendId, Config, Micros, SideEffects, Time};
use crate::backend_health::BackendHealth;
use crate::estimates::Estimates;
use crate::requests::{AttemptRecord, PendingRequest};
use std::collections::BTreeMap;

/// What the time that has passed calls for.
pub(crate) enum RequestStep {
    Wait,
    /// It cannot be served in time any more.
    GiveUp,
    /// Its attempts look lost: another one may be sent beside them.
    Hedge,
    /// Its attempt looks lost, and none may be sent beside it: it is cancelled to make way for the next.
    CancelLost,
}

/// The check of one request.
pub(crate) struct RequestCheck {
    pub step: RequestStep,
    /// When time calls for something next.
    pub next_check_at: Time,
}

/// What a check depends on.
pub(crate) struct TimeoutContext<'a> {
    pub now: Time,
    pub config: &'a Config,
    pub estimates: &'a Estimates,
    pub answer_loss: &'a AnswerLoss,
    pub backends: &'a BTreeMap<BackendId, BackendHealth>,
    /// The retry budget allows another attempt.
    pub may_retry: bool,
}

impl TimeoutContext<'_> {
    /// Checks one request, unless no time runs on it.
    pub(crate) fn check(&self, request: &PendingRequest) -> Option<RequestCheck> {
        let has_attempt_in_flight = request.has_attempt_in_flight();
        if request.streaming || request.uploading && has_attempt_in_flight {
            return None;
        }
        let usual_latency = self.estimates.usual_latency(self.config, request.class);
        let pays_late = self.pays_late(request);
        // The deadline's own tick would be too late to answer.
        let (last_start, margin) = if has_attempt_in_flight {
            (request.deadline, self.config.tick)
        } else {
            (self.last_start(request, usual_latency, pays_late), usual_latency.max(self.config.tick))
        };
        let step = if self.now + margin >= last_start {
            RequestStep::GiveUp
        } else if self.is_lost(request, usual_latency)
            && self.is_worth_retrying(request, usual_latency, pays_late)
        {
            self.replace_lost(request)
        } else {
            RequestStep::Wait
        };
        Some(RequestCheck { step, next_check_at: last_start - margin })
    }

    /// An answer after the latency objective has some value, and the client need not know early that the
    /// request failed.
    fn pays_late(&self, request: &PendingRequest) -> bool {
        self.config.classes[request.class].late_value_factor > 0.0 && !request.never_ran()
    }

    /// When an attempt has to begin at the latest: a request that waits until it cannot meet its objective is
    /// rejected while that is still harmless. The client of a request that never ran is answered before half
    /// of its time is over.
    fn last_start(&self, request: &PendingRequest, usual_latency: Micros, pays_late: bool) -> Time {
        if pays_late {
            return request.deadline;
        }
        let half_time = (request.deadline - request.arrived_at).times(0.5);
        let half = request.arrived_at + half_time + usual_latency - self.config.tick;
        request.objective_at.min(half).min(request.deadline)
    }

    /// All attempts in flight look lost. Age alone is a reason only where answers are being lost: copies of
    /// heavy requests overload backends.
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

    /// Another attempt may be answered in time, and there is budget for it.
    fn is_worth_retrying(&self, request: &PendingRequest, usual_latency: Micros, pays_late: bool) -> bool {
        let expected_end = self.now + usual_latency;
        let in_time = expected_end < request.objective_at || pays_late && expected_end < request.deadline;
        in_time && self.may_retry
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
