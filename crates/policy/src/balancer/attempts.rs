//! Progress and end of attempts, and how their outcomes are recorded for backends, kinds and classes.

use super::Balancer;
use crate::answer_loss::EndedAttempt;
use crate::api::{AttemptEnd, BackendId, Micros, Outcome, RequestId, Time};
use crate::outlier::{self, FailedAttempt, FailureVerdict};
use crate::requests::{AnswerPace, AttemptKey, InFlightAttempt};

impl Balancer {
    /// Records that the body of a request is complete: its objective and deadline start now, and its attempt
    /// counts as load on the backend. The body is consumed, so that no further attempt is allowed.
    pub(super) fn receive_body(&mut self, now: Time, id: RequestId, time_left: Micros) {
        let Some(request) = self.requests.pending.get_mut(&id).filter(|request| request.uploading) else {
            return;
        };
        let objective = (request.objective_at - request.arrived_at).min(time_left);
        request.arrived_at = now;
        request.objective_at = now + objective;
        request.deadline = now + time_left;
        request.uploading = false;
        request.max_attempts = request.attempts.len();
        for attempt in self.requests.attempts_of(id).filter(|attempt| attempt.uploading) {
            attempt.uploading = false;
            attempt.sent_at = now;
            if let Some(backend) = self.backends.by_id.get_mut(&attempt.backend) {
                backend.load.uploading = backend.load.uploading.saturating_sub(1);
            }
        }
        self.schedule.next_check_at = now;
    }

    pub(super) fn end_attempt(&mut self, now: Time, end: &AttemptEnd) {
        let id = end.request;
        let key = AttemptKey { request: id, attempt: end.attempt };
        let Some(attempt) = self.requests.in_flight.remove(&key) else { return };
        self.requests.paused -= usize::from(attempt.answer_pace == AnswerPace::Paused);
        self.record_outcome(now, &attempt, end);
        let Some(request) = self.requests.pending.get_mut(&id) else { return };
        if let Some(record) = request.attempts.get_mut(end.attempt.0 as usize) {
            record.in_flight = false;
            record.never_ran = end.outcome.never_ran();
        }
        if end.body_consumed {
            request.max_attempts = request.attempts.len();
        }
        let has_attempt_in_flight = request.has_attempt_in_flight();
        if end.request_answered || end.outcome == Outcome::Success {
            if end.outcome == Outcome::Success && attempt.answer_pace != AnswerPace::Steady {
                self.excuse_paused_attempts(id);
            }
            self.close(id);
        } else if has_attempt_in_flight {
            self.replace_paused(now, id);
        } else {
            // The dispatch of the queue retries it or gives it up.
            self.admission.queue.push_if_absent(id);
        }
    }

    /// Updates the estimates and the health of the backend by the outcome of an attempt.
    fn record_outcome(&mut self, now: Time, attempt: &InFlightAttempt, end: &AttemptEnd) {
        let usual_latency = self.usual_latency(attempt.class);
        let has_paused = attempt.answer_pace == AnswerPace::Paused;
        let is_old = attempt.is_timed() && now >= attempt.sent_at + self.loss_timeout(attempt.class);
        // An attempt that was given up while its answer paused, or after the loss timeout, counts as failed.
        let outcome = match end.outcome {
            Outcome::Cancelled | Outcome::TimedOut if has_paused => Outcome::Error,
            Outcome::Cancelled if is_old && !attempt.streaming => Outcome::TimedOut,
            outcome => outcome,
        };
        // What has begun to arrive is not lost, even if its time is over before its end.
        let has_begun = attempt.streaming && matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        if !attempt.uploading && !has_begun {
            let outcome = if has_paused { outcome } else { end.outcome };
            let ended = EndedAttempt { sent_at: attempt.sent_at, outcome, usual_latency };
            self.recovery.answer_loss.record(now, &ended);
        }
        let Some(backend) = self.backends.by_id.get_mut(&attempt.backend) else { return };
        let load = &mut backend.load;
        load.in_flight = load.in_flight.saturating_sub(u32::from(!has_paused));
        load.uploading = load.uploading.saturating_sub(u32::from(attempt.uploading));
        load.lost = load.lost.saturating_sub(u32::from(is_old));
        let kind = self.traffic.estimates.kinds.entry(backend.entry.kind).or_default();
        if matches!(outcome, Outcome::Success | Outcome::TimedOut) {
            kind.record_answered(outcome == Outcome::Success);
        }
        match outcome {
            Outcome::Success => {
                let kind = backend.entry.kind;
                self.traffic.estimates.record_success(kind, attempt.class, end.latency);
                if outlier::record_success(backend, attempt.class, now) {
                    self.output.log(now, format!("backend {} is back", attempt.backend.0));
                }
            }
            Outcome::Rejected => outlier::record_rejection(backend, attempt.class, now, usual_latency),
            Outcome::Cancelled | Outcome::NeverSent => {}
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                self.record_failed_attempt(now, attempt, outcome);
            }
        }
    }

    fn record_failed_attempt(&mut self, now: Time, attempt: &InFlightAttempt, outcome: Outcome) {
        let Some(backend) = self.backends.by_id.get_mut(&attempt.backend) else { return };
        let failed = FailedAttempt { class: attempt.class, sent_at: attempt.sent_at, outcome };
        let common_error_rate = self.traffic.solver.common_error_rate;
        match outlier::record_failure(backend, now, &failed, common_error_rate) {
            FailureVerdict::Tolerate => {}
            FailureVerdict::EjectForClass => self.eject_for_class(now, attempt.backend, attempt.class),
            FailureVerdict::Eject => self.eject(now, attempt.backend, outcome),
        }
    }

    fn eject_for_class(&mut self, now: Time, id: BackendId, class: usize) {
        let Some(backend) = self.backends.by_id.get_mut(&id) else { return };
        if outlier::eject_for_class(backend, class, now) {
            self.traffic.solver.next_solve_at = now;
            self.output.log(now, format!("backend {} gets none of class {class}", id.0));
        }
    }

    fn eject(&mut self, now: Time, id: BackendId, cause: Outcome) {
        let jitter = self.rng.unit();
        let Some(backend) = self.backends.by_id.get_mut(&id) else { return };
        if outlier::eject(backend, now, jitter) {
            self.schedule.next_check_at = now;
            self.output.log(now, format!("backend {} ejected: {cause:?}", id.0));
        }
    }
}
