//! Sends attempts, checks the conditions before their first byte, and closes them.

use super::state::{Answer, AttemptKey, OpenAttempt, State};
use super::{Host, LOG_TARGET};
use crate::exchange::{AnswerProgress, AttemptContext};
use crate::registry::KnownBackend;
use lotusdeck_policy::{AttemptEnd, AttemptNo, BackendId, BackendState, Micros, Outcome, RequestId, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::debug;

/// Time for giving the beginning of an answer to the front, µs.
const ANSWER_MARGIN: Micros = Micros(5_000);

/// Handles what the task of an attempt reports. Passed as a parameter, because the handlers are in `actions`, which this
/// module must not depend on.
#[derive(Clone, Copy)]
pub(super) struct AttemptHandlers {
    /// The task completed with this outcome.
    pub(super) on_end: fn(&Rc<Host>, AttemptKey, Outcome),
    /// The answer paused or went on.
    pub(super) on_progress: fn(&Rc<Host>, AttemptKey, AnswerProgress),
}

/// The conditions that are checked right before the first byte of an attempt.
pub(super) struct SendCondition {
    pub(super) request: RequestId,
    pub(super) backend: BackendId,
    /// The backend's address when the attempt was dispatched.
    pub(super) address: SocketAddr,
    /// The end of the idempotency window of a retry.
    pub(super) send_by: Option<Time>,
}

/// Returns when the beginning of an answer has to be given to the front: ahead of the balancer's final answer, which it
/// gives one tick before the deadline.
fn answer_by(deadline: Time, tick: Micros) -> Time {
    Time(deadline.0.saturating_sub(2 * tick.0 + ANSWER_MARGIN.0))
}

impl Host {
    /// Starts the next attempt of a request, unless the request is over or the backend is unknown.
    pub(super) fn dispatch(
        self: &Rc<Self>, state: &mut State, now: Time, id: RequestId, backend: BackendId,
        handlers: AttemptHandlers,
    ) {
        let Some(request) = state.requests.get_mut(&id) else { return };
        let key = AttemptKey { request: id, attempt: AttemptNo(request.attempts) };
        request.attempts += 1;
        state.counts.attempts += 1;
        let exchange = request.exchange.clone();
        let journaled = request.journaled.then(|| exchange.clone());
        let Some(context) = self.attempt_context(state, key, backend, handlers) else { return };
        debug!(target: LOG_TARGET, request = id.0, attempt = key.attempt.0, backend = backend.0, "attempt started");
        let early_answer = context.early_answer.clone();
        let host = self.clone();
        let task = tokio::task::spawn_local(async move {
            let outcome = exchange.send_attempt(context).await;
            (handlers.on_end)(&host, key, outcome);
        });
        let attempt = OpenAttempt {
            backend,
            sent_at: now,
            latency_from: now,
            early_answer,
            task: task.abort_handle(),
            journaled,
        };
        state.attempts.insert(key, attempt);
    }

    fn attempt_context(
        self: &Rc<Self>, state: &State, key: AttemptKey, backend: BackendId, handlers: AttemptHandlers,
    ) -> Option<AttemptContext> {
        let request = state.requests.get(&key.request)?;
        let known = state.registry.get(backend)?;
        let address = known.address;
        let send_by = state.send_by(request, key);
        let condition = SendCondition { request: key.request, backend, address, send_by };
        let (host, reporting_host) = (self.clone(), self.clone());
        // The journal writes while the connection is being established.
        let journal = self.services.journal.as_ref().filter(|_| request.journaled);
        let send_permit =
            journal.map(|journal| journal.record_intent(key.request, key.attempt, &known.name, address));
        Some(AttemptContext {
            request: key.request,
            attempt: key.attempt,
            backend,
            address,
            deadline: self.clock.instant(request.deadline),
            answer_by: self.clock.instant(answer_by(request.deadline, state.active.settings.config.tick)),
            early_answer: Rc::default(),
            report_progress: Rc::new(move |progress| (handlers.on_progress)(&reporting_host, key, progress)),
            send_check: Box::new(move || host.may_send(&condition)),
            send_permit: send_permit.into(),
        })
    }

    /// Returns whether an attempt may be sent: the backend is still usable, its address is still the one that the
    /// connection was opened to, where another backend may listen by now, the request still waits for its answer, and a
    /// retry is still within the idempotency window.
    pub(super) fn may_send(&self, condition: &SendCondition) -> bool {
        let state = self.state.borrow();
        let is_usable = |backend: &KnownBackend| {
            backend.state == BackendState::Ready
                && backend.address == condition.address
                && !self.cordon.contains(&backend.name)
        };
        state.registry.get(condition.backend).is_some_and(is_usable)
            && state.requests.contains_key(&condition.request)
            && condition.send_by.is_none_or(|send_by| self.clock.now() < send_by)
    }

    /// Closes an attempt, and answers its request if the attempt succeeded; returns `None` if it is not in flight.
    pub(super) fn close_attempt(
        &self, state: &mut State, key: AttemptKey, outcome: Outcome,
    ) -> Option<AttemptEnd> {
        let open = self.remove_attempt(state, key, outcome)?;
        state.counts.count_attempt_end(outcome);
        if outcome == Outcome::TimedOut {
            self.notify_unanswered(&open);
        }
        if outcome == Outcome::Success && state.requests.contains_key(&key.request) {
            state.counts.served += 1;
            self.finish(state, key.request, Answer::Served(key.attempt));
        }
        self.finish_given_up(state, key.request);
        if !matches!(outcome, Outcome::Success | Outcome::Cancelled) {
            debug!(
                target: LOG_TARGET,
                request = key.request.0,
                attempt = key.attempt.0,
                backend = open.backend.0,
                ?outcome,
                "attempt ended"
            );
        }
        Some(state.attempt_end(key, outcome, self.clock.now() - open.latency_from))
    }

    /// Gives up an attempt that the balancer withdraws, unless its answer is under way and its request is open: the
    /// answer may still be given to the client. Returns `None` if it goes on or is not in flight.
    pub(super) fn withdraw_attempt(
        &self, state: &mut State, now: Time, key: AttemptKey,
    ) -> Option<AttemptEnd> {
        let is_under_way = |attempt: &OpenAttempt| attempt.early_answer.is_under_way();
        if state.attempts.get(&key).is_some_and(is_under_way) && state.requests.contains_key(&key.request) {
            debug!(target: LOG_TARGET, request = key.request.0, attempt = key.attempt.0, "attempt not withdrawn");
            return None;
        }
        self.cancel_attempt(state, now, key)
    }

    /// Gives up an attempt that the balancer cancels, without counting its end; returns `None` if it is not in
    /// flight.
    pub(super) fn cancel_attempt(&self, state: &mut State, now: Time, key: AttemptKey) -> Option<AttemptEnd> {
        let open = self.remove_attempt(state, key, Outcome::Cancelled)?;
        self.notify_unanswered(&open);
        Some(state.attempt_end(key, Outcome::Cancelled, now - open.latency_from))
    }

    /// Removes an attempt from those in flight and closes its connection, if it still has one. Records its end in the
    /// journal and, if it may have run, in its request. Returns `None` if it is not in flight.
    fn remove_attempt(&self, state: &mut State, key: AttemptKey, outcome: Outcome) -> Option<OpenAttempt> {
        let open = state.attempts.remove(&key)?;
        open.task.abort();
        self.journal_end(key, outcome, &open);
        if !outcome.never_ran() {
            state.record_possible_run(key.request, open.sent_at);
        }
        Some(open)
    }

    /// Notifies the journal of the end of an attempt that is recorded there.
    fn journal_end(&self, key: AttemptKey, outcome: Outcome, open: &OpenAttempt) {
        if let (Some(journal), Some(exchange)) = (&self.services.journal, &open.journaled) {
            let status = exchange.answer_status(key.attempt);
            journal.record_attempt_end(key.request, key.attempt, outcome, status);
        }
    }

    /// Notifies the connection pools of an attempt that was given up before its answer.
    fn notify_unanswered(&self, open: &OpenAttempt) {
        let sent = self.clock.instant(open.sent_at);
        self.pools.iter().for_each(|pools| pools.attempt_unanswered(open.backend, sent));
    }
}
