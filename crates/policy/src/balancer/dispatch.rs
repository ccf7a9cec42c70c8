//! Sends queued requests, and gives the final answer to requests that cannot be sent.

use super::Balancer;
use crate::admission::QueuedRequest;
use crate::api::{Action, AttemptNo, BackendId, Micros, RequestId, Time};
use crate::backend_health::BackendHealth;
use crate::backend_table::SMALL_FLEET;
use crate::outlier::EJECTION_TERM_S;
use crate::picker::Eligibility;
use crate::requests::{AnswerPace, AttemptKey, AttemptRecord, InFlightAttempt, PendingRequest};
use crate::retry;
use crate::slow_start::WarmupBudget;

impl Balancer {
    /// Sends the queued requests for which a backend has capacity.
    pub(super) fn dispatch_queued(&mut self, now: Time) {
        let estimates = &self.traffic.estimates;
        let ordered = self.admission.queue.take_in_order(&self.config, estimates, &self.requests);
        for queued in ordered {
            self.dispatch(now, &queued);
        }
    }

    fn dispatch(&mut self, now: Time, queued: &QueuedRequest) {
        let id = queued.request;
        if self.admission.queue.is_blocked(queued) {
            self.admission.queue.push(id);
            return;
        }
        let Some(mut request) = self.requests.pending.remove(&id) else { return };
        let may_send = self.may_send(now, &request);
        let picked = if may_send { self.pick_backend(now, &request) } else { None };
        if let Some(backend) = picked {
            self.send(now, id, &mut request, backend);
        } else if may_send {
            if request.attempts.is_empty() {
                self.admission.queue.block(&request);
            }
            self.admission.queue.push(id);
        }
        let is_over = !may_send && !request.has_attempt_in_flight();
        self.requests.pending.insert(id, request);
        if is_over {
            self.give_up(id);
        }
    }

    /// Returns whether the request may be sent to some backend: admission or the retry budget permits it, and
    /// so do its earlier attempts.
    fn may_send(&self, now: Time, request: &PendingRequest) -> bool {
        let is_permitted = if request.attempts.is_empty() {
            !self.admission.sheds(now, &self.config, &self.traffic.estimates, request)
        } else {
            self.recovery.retry_budget.is_available()
        };
        is_permitted && retry::may_attempt(&self.config, now, request)
    }

    pub(super) fn pick_backend(&mut self, now: Time, request: &PendingRequest) -> Option<BackendId> {
        let traffic = &self.traffic;
        let estimates = &traffic.estimates;
        let eligibility = Eligibility {
            request,
            work: estimates.relative_work(request.class),
            respects_class_ejections: !estimates.classes[request.class].is_ejected_by_most,
            any_idempotent: self.recovery.any_idempotent,
            may_reuse_backends: self.may_reuse_backends(request),
            warmup: WarmupBudget {
                now,
                config: &self.config,
                kinds: &estimates.kinds,
                slow_start: &traffic.slow_start,
            },
        };
        traffic.picker.pick_backend(&mut self.rng, &self.backends.by_id, &estimates.kinds, &eligibility)
    }

    /// Returns whether the request may be sent again to a backend that already had an attempt of it: the
    /// request is idempotent, the fleet is small, and every backend in use has had an attempt. Lost answers
    /// would otherwise leave the request without a backend.
    fn may_reuse_backends(&self, request: &PendingRequest) -> bool {
        let is_idempotent = self.config.classes[request.class].is_idempotent();
        if !is_idempotent || request.attempts.is_empty() || self.backends.by_id.len() > SMALL_FLEET {
            return false;
        }
        let is_in_use = |backend: &BackendHealth| backend.is_listed() && backend.plan.readiness > 0.0;
        self.backends.by_id.iter().all(|(id, backend)| !is_in_use(backend) || retry::has_tried(request, *id))
    }

    fn send(&mut self, now: Time, id: RequestId, request: &mut PendingRequest, picked: BackendId) {
        let Some(backend) = self.backends.by_id.get_mut(&picked) else { return };
        self.admission.record_sent(now);
        if !request.attempts.is_empty() {
            self.recovery.retry_budget.take();
        }
        let key = AttemptKey { request: id, attempt: AttemptNo(request.attempts.len() as u32) };
        let entry = backend.entry.clone();
        request.attempts.push(AttemptRecord {
            backend: entry,
            sent_at: now,
            in_flight: true,
            never_ran: false,
        });
        backend.load.in_flight += 1;
        backend.load.uploading += u32::from(request.uploading);
        let work = self.traffic.estimates.relative_work(request.class);
        backend.sent_work.record_sent_work(
            now,
            work,
            self.config.tick,
            self.config.slow_start.overload_window,
        );
        let attempt = InFlightAttempt {
            backend: picked,
            class: request.class,
            sent_at: now,
            uploading: request.uploading,
            streaming: false,
            answer_pace: AnswerPace::default(),
        };
        self.requests.in_flight.insert(key, attempt);
        self.output.actions.push(Action::Dispatch { request: id, backend: picked });
        self.schedule.schedule_check(now + self.loss_timeout(request.class));
        self.schedule.schedule_check(request.deadline - self.config.tick);
    }

    /// Rejects a request that will not be served if its client may safely retry, and fails it otherwise.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.pending.get(&id) else { return };
        let action = if retry::is_safe_for_client_retry(&self.config, request) {
            Action::Reject { request: id, retry_after: self.retry_after(request.class) }
        } else {
            Action::Fail { request: id }
        };
        self.output.actions.push(action);
        self.close(id);
    }

    /// Returns the time after which a client should retry: attempts in flight have probably ended by then,
    /// or, if no backend is ready, an ejected one is on probation.
    fn retry_after(&self, class: usize) -> Micros {
        let has_ready = self.traffic.estimates.kinds.values().any(|kind| kind.readiness > 0.0);
        if has_ready {
            self.usual_latency(class).times(2.0)
        } else {
            Micros::from_secs(EJECTION_TERM_S)
        }
    }

    /// Removes a request that has its final answer or whose client disconnected, and cancels its attempts in
    /// flight if that is allowed.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.pending.remove(&id) else { return };
        self.admission.queue.remove(id);
        self.requests.awaiting_budget.remove(&id);
        if !self.config.attempts.allow_cancel {
            return;
        }
        for (index, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight {
                let attempt = AttemptNo(index as u32);
                self.output.actions.push(Action::Cancel { request: id, attempt });
            }
        }
    }
}
