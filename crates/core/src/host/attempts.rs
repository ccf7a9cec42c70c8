//! Attempts: how they are sent, what is asked at their first byte, and how they are closed.

use super::state::{Answer, OpenAttempt, State};
use super::{Host, LOG_TARGET};
use crate::exchange::AttemptContext;
use crate::registry::KnownBackend;
use lotusdeck_policy::{AttemptEnd, AttemptNo, BackendId, BackendState, Outcome, RequestId, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::debug;

/// Takes the end of an attempt whose task ran to its end. It is handed in: what follows from an end is decided above.
pub(super) type OnEnd = fn(&Rc<Host>, RequestId, AttemptNo, Outcome);

impl Host {
    /// Sends the next attempt of a request; nothing where the request is over or the backend unknown.
    pub(super) fn dispatch(
        self: &Rc<Self>, s: &mut State, now: Time, id: RequestId, backend: BackendId, on_end: OnEnd,
    ) {
        let Some(request) = s.requests.get_mut(&id) else { return };
        let attempt = AttemptNo(request.attempts);
        request.attempts += 1;
        s.counts.attempts += 1;
        let work = request.work.clone();
        let journaled = request.journaled.then(|| work.clone());
        let Some(leg) = self.leg(s, id, attempt, backend) else { return };
        let host = self.clone();
        let task = tokio::task::spawn_local(async move {
            let outcome = work.send_attempt(leg).await;
            on_end(&host, id, attempt, outcome);
        });
        let open =
            OpenAttempt { backend, sent_at: now, time_runs_from: now, task: task.abort_handle(), journaled };
        s.attempts.insert((id, attempt), open);
    }

    /// Where and until when an attempt goes, and what has to hold before its first byte.
    fn leg(
        self: &Rc<Self>, s: &State, id: RequestId, attempt: AttemptNo, backend: BackendId,
    ) -> Option<AttemptContext> {
        let request = s.requests.get(&id)?;
        let known = s.registry.get(backend)?;
        let address = known.address;
        let deadline = self.clock.instant(request.deadline);
        let send_by = s.send_by(id, request, attempt);
        let host = self.clone();
        let gate = Box::new(move || host.may_send(id, (backend, address), send_by));
        // The journal writes while the connection comes up.
        let journal = self.services.journal.as_ref().filter(|_| request.journaled);
        let clearance = journal.map(|journal| journal.attempt_intended(id, attempt, &known.name, address));
        Some(AttemptContext {
            attempt,
            backend,
            address,
            deadline,
            send_check: gate,
            send_permit: clearance.into(),
        })
    }

    /// At the moment of the first byte: the list still allows it and still has the backend at that address, where
    /// another may be by now; the request still waits for it, and a repeat is still one that is dropped.
    pub(super) fn may_send(
        &self, request: RequestId, (backend, to): (BackendId, SocketAddr), send_by: Option<Time>,
    ) -> bool {
        let s = self.state.borrow();
        let usable = |b: &KnownBackend| {
            b.state == BackendState::Ready && b.address == to && !self.cordon.contains(&b.name)
        };
        s.registry.get(backend).is_some_and(usable)
            && s.requests.contains_key(&request)
            && send_by.is_none_or(|at| self.clock.now() < at)
    }

    /// Closes an attempt, and its request where that is served; `None` where it is not out.
    pub(super) fn close_attempt(
        &self, s: &mut State, id: RequestId, attempt: AttemptNo, outcome: Outcome,
    ) -> Option<AttemptEnd> {
        let open = s.attempts.remove(&(id, attempt))?;
        open.task.abort(); // closes its connection, if it is still on one
        s.counts.count_attempt_end(outcome);
        self.journal_end(id, attempt, outcome, &open);
        if outcome == Outcome::TimedOut {
            self.notify_unanswered(&open);
        }
        if !outcome.never_ran() {
            s.note_run(id, open.sent_at);
        }
        if outcome == Outcome::Success && s.requests.contains_key(&id) {
            s.counts.served += 1;
            self.finish(s, id, Answer::Served(attempt));
        }
        if !matches!(outcome, Outcome::Success | Outcome::Cancelled) {
            let backend = open.backend.0;
            debug!(target: LOG_TARGET, request = id.0, attempt = attempt.0, backend, ?outcome, "attempt ended");
        }
        Some(s.attempt_end(id, attempt, outcome, self.clock.now() - open.time_runs_from))
    }

    /// Gives up an attempt that the module cancels; `None` where it is not out. Counts are of ends that came otherwise.
    pub(super) fn cancel_attempt(
        &self, s: &mut State, now: Time, id: RequestId, attempt: AttemptNo,
    ) -> Option<AttemptEnd> {
        let open = s.attempts.remove(&(id, attempt))?;
        open.task.abort();
        self.journal_end(id, attempt, Outcome::Cancelled, &open);
        self.notify_unanswered(&open);
        Some(s.attempt_end(id, attempt, Outcome::Cancelled, now - open.time_runs_from))
    }

    /// Tells the journal of the end of an attempt that it was told of.
    fn journal_end(&self, id: RequestId, attempt: AttemptNo, outcome: Outcome, open: &OpenAttempt) {
        if let Some((journal, work)) = self.services.journal.as_ref().zip(open.journaled.as_ref()) {
            journal.attempt_ended(id, attempt, outcome, work.answer_status(attempt));
        }
    }

    /// Tells the connections of an attempt that was given up unanswered.
    fn notify_unanswered(&self, open: &OpenAttempt) {
        let sent = self.clock.instant(open.sent_at);
        self.pools.iter().for_each(|lines| lines.attempt_unanswered(open.backend, sent));
    }
}
