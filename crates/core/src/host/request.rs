//! A request's life as its front and its client see it: taken, uploaded, given up, out of time.

use super::state::{Answer, OpenRequest, State};
use super::{Host, LOG_TARGET};
use crate::exchange::Exchange;
use crate::journal::RequestLabels;
use lotusdeck_policy::{Arrival, Event, Micros, Outcome, RequestId, SideEffects};
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::warn;

impl Host {
    /// Takes a request; `arrival.request` is given here. `labels` name it in the journal, where there is one and
    /// the request must never run twice.
    pub fn submit(
        self: &Rc<Self>, mut arrival: Arrival, work: Rc<dyn Exchange>, effect: SideEffects,
        labels: impl FnOnce() -> RequestLabels,
    ) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, wait) = oneshot::channel();
        let window = match effect {
            SideEffects::IdempotencyKey { window, .. } => Some(window),
            _ => None,
        };
        let deadline = self.clock.now() + arrival.time_left;
        {
            let mut s = self.state.borrow_mut();
            arrival.request = s.open(OpenRequest::new(work, window, answer, deadline));
            if let Err(retry_after) = self.admit(&mut s, &arrival, effect, labels) {
                self.reject(&mut s, arrival.request, retry_after);
                return (arrival.request, wait);
            }
        }
        let id = arrival.request;
        self.handle_event(Event::Request(arrival));
        (id, wait)
    }

    /// Asks the limits, and the journal where the request must never run twice.
    ///
    /// # Errors
    /// One of them refuses it: when the client had better come again.
    fn admit(
        &self, s: &mut State, arrival: &Arrival, effect: SideEffects, labels: impl FnOnce() -> RequestLabels,
    ) -> Result<(), Micros> {
        let id = arrival.request;
        if let Some(gate) = &self.services.fleet_limiter {
            let pass = gate.admit(arrival.class, arrival.tenant, &s.names)?;
            s.requests.entry(id).and_modify(|request| request.admission = Some(pass));
        }
        let journal = self.services.journal.as_ref().filter(|_| effect == SideEffects::NonIdempotent);
        let Some(journal) = journal else { return Ok(()) };
        if let Some(retry_after) = journal.unavailable_for() {
            return Err(retry_after);
        }
        journal.request_taken(id, labels());
        s.requests.entry(id).and_modify(|request| request.journaled = true);
        Ok(())
    }

    /// The client left before its answer.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        {
            let mut s = self.state.borrow_mut();
            let Some(request) = s.requests.remove(&id) else { return };
            self.release_request(id, &request);
            s.counts.client_disconnects += 1;
        }
        self.handle_event(Event::ClientDisconnected { request: id });
        self.drop_attempts(id);
    }

    /// The request's time is up. Attempts that are out have timed out, on which the module gives its final
    /// answer; should it stay silent, the request still gets one.
    pub fn deadline_expired(self: &Rc<Self>, id: RequestId) {
        let out = self.state.borrow().attempts_of(id);
        for attempt in out {
            self.attempt_ended(id, attempt, Outcome::TimedOut);
        }
        let silent = self.state.borrow_mut().requests.remove(&id);
        let Some(request) = silent else { return };
        warn!(target: LOG_TARGET, request = id.0, attempts = request.attempts, "no decision by the deadline");
        self.release_request(id, &request);
        self.state.borrow_mut().counts.timed_out += 1;
        let _ = request.answer.send(Answer::TimedOut);
        self.handle_event(Event::ClientDisconnected { request: id });
        self.drop_attempts(id);
    }

    /// A request's body is whole: its time begins.
    pub fn body_received(self: &Rc<Self>, id: RequestId, time_left: Micros) {
        {
            let mut s = self.state.borrow_mut();
            let now = self.clock.now();
            let Some(live) = s.requests.get_mut(&id) else { return };
            live.deadline = now + time_left;
            let out = s.attempts.iter_mut().filter(|(key, _)| key.0 == id);
            out.for_each(|(_, flight)| flight.time_runs_from = now);
        }
        self.handle_event(Event::BodyReceived { request: id, time_left });
    }
}
