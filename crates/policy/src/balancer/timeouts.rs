//! Checks of the timeouts: attempts that look lost, and requests that cannot be served in time.

use super::Balancer;
use crate::admission::LOAD_MEMORY_S;
use crate::answer_loss::SILENT_AFTER;
use crate::api::{Action, AttemptNo, Micros, RequestId, Time};
use crate::hedging::{RequestStep, TimeoutContext};
use crate::retry;

impl Balancer {
    /// Checks all timeouts and schedules the next check.
    pub(super) fn check_timeouts(&mut self, now: Time) {
        let latest_check = now + Micros::from_secs(LOAD_MEMORY_S);
        if self.discovery.take_if_due(now, self.config.discovery) {
            self.output.actions.push(Action::WatchEndpoints);
        }
        let next_poll_at = self.discovery.next_at().unwrap_or(latest_check);
        self.backends.clear_suspects();
        let next_attempt_at = self.check_attempts(now, latest_check);
        let mut unservable = Vec::new();
        let next_request_at = self.check_requests(now, latest_check, &mut unservable);
        let next = latest_check.min(next_poll_at).min(next_attempt_at).min(next_request_at);
        self.schedule.next_check_at = next.max(now + self.config.tick);
        for id in unservable {
            self.give_up(id);
        }
    }

    /// Marks the backends with attempts that look lost; returns when the next attempt will look lost, at most
    /// `latest`.
    fn check_attempts(&mut self, now: Time, latest: Time) -> Time {
        let mut next = latest;
        for attempt in self.requests.in_flight.values().filter(|attempt| attempt.is_timed()) {
            let usual_latency = self.traffic.estimates.usual_latency(&self.config, attempt.class);
            let lost_at = attempt.sent_at + self.recovery.answer_loss.loss_timeout(usual_latency);
            let silent_at = attempt.sent_at + usual_latency.times(SILENT_AFTER);
            for at in [lost_at, silent_at] {
                if at > now {
                    next = next.min(at);
                }
            }
            if now < lost_at.min(silent_at) {
                continue;
            }
            self.backends.suspects.push(attempt.backend);
            let Some(backend) = self.backends.by_id.get_mut(&attempt.backend) else { continue };
            backend.load.lost += u32::from(now >= lost_at);
            let is_silent = now >= silent_at && !attempt.streaming;
            backend.silent_attempts += u32::from(is_silent && backend.answered_at <= attempt.sent_at);
            let class = backend.class_mut(attempt.class);
            class.silent_attempts += u32::from(is_silent && class.answered_at <= attempt.sent_at);
        }
        next
    }

    /// Collects in `unservable` the requests that cannot be served in time, and replaces attempts that look
    /// lost; returns when the next request has to be checked, at most `latest`.
    fn check_requests(&mut self, now: Time, latest: Time, unservable: &mut Vec<RequestId>) -> Time {
        let context = self.timeout_context(now);
        let mut next = latest;
        let mut hedged = Vec::new();
        let mut lost = Vec::new();
        for (&id, request) in &self.requests.pending {
            let Some(check) = context.check(request) else { continue };
            match check.step {
                RequestStep::Wait => {}
                RequestStep::GiveUp => unservable.push(id),
                RequestStep::Hedge => {
                    if retry::may_attempt(&self.config, now, request) {
                        hedged.push(id);
                    }
                }
                RequestStep::CancelLost => {
                    let attempt = AttemptNo(request.attempts.len() as u32 - 1);
                    lost.push(Action::Cancel { request: id, attempt });
                }
            }
            next = next.min(check.next_check_at);
        }
        hedged.into_iter().for_each(|id| self.admission.queue.push_if_absent(id));
        self.output.actions.extend(lost);
        next
    }

    /// Returns the inputs of the checks of requests.
    pub(super) fn timeout_context(&self, now: Time) -> TimeoutContext<'_> {
        TimeoutContext {
            now,
            config: &self.config,
            estimates: &self.traffic.estimates,
            answer_loss: &self.recovery.answer_loss,
            backends: &self.backends.by_id,
            may_retry: self.recovery.retry_budget.is_available(),
        }
    }

    /// Returns the usual latency of a served request of the class.
    pub(super) fn usual_latency(&self, class: usize) -> Micros {
        self.traffic.estimates.usual_latency(&self.config, class)
    }

    /// Returns the age from which an attempt of the class counts as lost.
    pub(super) fn loss_timeout(&self, class: usize) -> Micros {
        self.recovery.answer_loss.loss_timeout(self.usual_latency(class))
    }
}
