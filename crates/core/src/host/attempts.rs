//! Attempts: how they are sent, what is checked before their first byte, and how they are closed.

use super::state::{Answer, AttemptKey, OpenAttempt, State};
use super::{Host, LOG_TARGET};
use crate::exchange::AttemptContext;
use crate::registry::KnownBackend;
use lotusdeck_policy::{AttemptEnd, AttemptNo, BackendId, BackendState, Outcome, RequestId, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::debug;

/// Called with the outcome of an attempt whose task ran to its end. A parameter, as `actions`, which handles the end,
/// comes after this module in the order.
pub(super) type OnAttemptEnd = fn(&Rc<Host>, AttemptKey, Outcome);

/// What has to hold right before the first byte of an attempt.
pub(super) struct SendCondition {
    pub(super) request: RequestId,
    pub(super) backend: BackendId,
    /// Where the backend listened when the attempt was dispatched.
    pub(super) address: SocketAddr,
    /// The end of the idempotency window of a retry.
    pub(super) send_by: Option<Time>,
}

impl Host {
    /// Sends the next attempt of a request, unless the request is over or the backend unknown.
    pub(super) fn dispatch(
        self: &Rc<Self>, state: &mut State, now: Time, id: RequestId, backend: BackendId,
        on_end: OnAttemptEnd,
    ) {
        let Some(request) = state.requests.get_mut(&id) else { return };
        let key = AttemptKey { request: id, attempt: AttemptNo(request.attempts) };
        request.attempts += 1;
        state.counts.attempts += 1;
        let exchange = request.exchange.clone();
        let journaled = request.journaled.then(|| exchange.clone());
        let Some(context) = self.attempt_context(state, key, backend) else { return };
        let host = self.clone();
        let task = tokio::task::spawn_local(async move {
            let outcome = exchange.send_attempt(context).await;
            on_end(&host, key, outcome);
        });
        let attempt =
            OpenAttempt { backend, sent_at: now, time_runs_from: now, task: task.abort_handle(), journaled };
        state.attempts.insert(key, attempt);
    }

    fn attempt_context(
        self: &Rc<Self>, state: &State, key: AttemptKey, backend: BackendId,
    ) -> Option<AttemptContext> {
        let request = state.requests.get(&key.request)?;
        let known = state.registry.get(backend)?;
        let address = known.address;
        let send_by = state.send_by(request, key);
        let condition = SendCondition { request: key.request, backend, address, send_by };
        let host = self.clone();
        // The journal writes while the connection comes up.
        let journal = self.services.journal.as_ref().filter(|_| request.journaled);
        let send_permit =
            journal.map(|journal| journal.attempt_intended(key.request, key.attempt, &known.name, address));
        Some(AttemptContext {
            attempt: key.attempt,
            backend,
            address,
            deadline: self.clock.instant(request.deadline),
            send_check: Box::new(move || host.may_send(&condition)),
            send_permit: send_permit.into(),
        })
    }

    /// Whether the backend is still usable and still at the address that the connection goes to, where another may
    /// listen by now, the request still waits, and a retry still falls in the idempotency window.
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

    /// Closes an attempt, and answers its request if it was served; `None` if it is not in flight.
    pub(super) fn close_attempt(
        &self, state: &mut State, key: AttemptKey, outcome: Outcome,
    ) -> Option<AttemptEnd> {
        let open = state.attempts.remove(&key)?;
        open.task.abort(); // closes its connection, if it still has one
        state.counts.count_attempt_end(outcome);
        self.journal_end(key, outcome, &open);
        if outcome == Outcome::TimedOut {
            self.notify_unanswered(&open);
        }
        if !outcome.never_ran() {
            state.record_possible_run(key.request, open.sent_at);
        }
        if outcome == Outcome::Success && state.requests.contains_key(&key.request) {
            state.counts.served += 1;
            self.finish(state, key.request, Answer::Served(key.attempt));
        }
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
        Some(state.attempt_end(key, outcome, self.clock.now() - open.time_runs_from))
    }

    /// Gives up an attempt that the balancer cancels; `None` if it is not in flight. Such ends are not counted.
    pub(super) fn cancel_attempt(&self, state: &mut State, now: Time, key: AttemptKey) -> Option<AttemptEnd> {
        let open = state.attempts.remove(&key)?;
        open.task.abort();
        self.journal_end(key, Outcome::Cancelled, &open);
        self.notify_unanswered(&open);
        Some(state.attempt_end(key, Outcome::Cancelled, now - open.time_runs_from))
    }

    /// Notifies the journal of the end of an attempt that it was notified of.
    fn journal_end(&self, key: AttemptKey, outcome: Outcome, open: &OpenAttempt) {
        if let (Some(journal), Some(exchange)) = (&self.services.journal, &open.journaled) {
            let status = exchange.answer_status(key.attempt);
            journal.attempt_ended(key.request, key.attempt, outcome, status);
        }
    }

    /// Notifies the connection pools of an attempt that was given up before its answer.
    fn notify_unanswered(&self, open: &OpenAttempt) {
        let sent = self.clock.instant(open.sent_at);
        self.pools.iter().for_each(|pools| pools.attempt_unanswered(open.backend, sent));
    }
}
