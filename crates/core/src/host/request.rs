//! The life cycle of a request: submission, complete receipt of its body, disconnect of the client, and deadline.

use super::state::{Answer, OpenRequest, State};
use super::{Host, LOG_TARGET};
use crate::exchange::Exchange;
use crate::journal::RequestLabels;
use lotusdeck_policy::{Arrival, Event, Micros, Outcome, RequestId, SideEffects};
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::{debug, warn};

impl Host {
    /// Accepts a request and assigns `arrival.request`; the returned receiver gets the final answer. `labels`
    /// identify the request in the journal, if there is one and the request is non-idempotent.
    pub fn submit(
        self: &Rc<Self>, mut arrival: Arrival, exchange: Rc<dyn Exchange>, side_effects: SideEffects,
        labels: impl FnOnce() -> RequestLabels,
    ) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, receiver) = oneshot::channel();
        let window = match side_effects {
            SideEffects::IdempotencyKey { window, .. } => Some(window),
            _ => None,
        };
        let deadline = self.clock.now() + arrival.time_left;
        {
            let mut state = self.state.borrow_mut();
            arrival.request = state.open(OpenRequest::new(exchange, window, answer, deadline));
            if let Err(retry_after) = self.admit(&mut state, &arrival, side_effects, labels) {
                self.reject(&mut state, arrival.request, retry_after);
                return (arrival.request, receiver);
            }
        }
        let id = arrival.request;
        self.handle_event(Event::Request(arrival));
        (id, receiver)
    }

    /// Checks the fleet's limits and, for a non-idempotent request, the journal.
    ///
    /// # Errors
    /// If one of them rejects the request, returns the time after which the client may retry.
    fn admit(
        &self, state: &mut State, arrival: &Arrival, side_effects: SideEffects,
        labels: impl FnOnce() -> RequestLabels,
    ) -> Result<(), Micros> {
        let id = arrival.request;
        if let Some(limiter) = &self.services.fleet_limiter {
            let admission = limiter.admit(arrival.class, arrival.tenant, &state.active.names)?;
            state.requests.entry(id).and_modify(|request| request.admission = Some(admission));
        }
        if side_effects != SideEffects::NonIdempotent {
            return Ok(());
        }
        let Some(journal) = &self.services.journal else { return Ok(()) };
        if let Some(retry_after) = journal.unavailable_for() {
            return Err(retry_after);
        }
        journal.record_request(id, labels());
        state.requests.entry(id).and_modify(|request| request.journaled = true);
        Ok(())
    }

    /// Ends a request whose client disconnected before the answer.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            let Some(request) = state.requests.remove(&id) else { return };
            self.release_request(id, &request);
            state.counts.client_disconnects += 1;
            debug!(target: LOG_TARGET, request = id.0, attempts = request.attempts, "client disconnected");
        }
        self.handle_event(Event::ClientDisconnected { request: id });
        self.cancel_orphaned_attempts(id);
    }

    /// Ends a request whose deadline has passed. Its attempts in flight time out, upon which the balancer gives its
    /// final answer; if it does not, the request is answered as timed out. An answer that is under way is given to the
    /// front now instead.
    pub fn deadline_expired(self: &Rc<Self>, id: RequestId) {
        if self.defer_to_answer_under_way(&mut self.state.borrow_mut(), id, Answer::TimedOut) {
            return;
        }
        let in_flight = self.state.borrow().attempts_of(id);
        for key in in_flight {
            self.attempt_ended(key, Outcome::TimedOut);
        }
        let undecided = self.state.borrow_mut().requests.remove(&id);
        let Some(request) = undecided else { return };
        warn!(target: LOG_TARGET, request = id.0, attempts = request.attempts, "no decision by the deadline");
        self.release_request(id, &request);
        self.state.borrow_mut().counts.timed_out += 1;
        // Fails if the client has disconnected, as the receiver is dropped then.
        let _ = request.answer.send(Answer::TimedOut);
        self.handle_event(Event::ClientDisconnected { request: id });
        self.cancel_orphaned_attempts(id);
    }

    /// Ends all open requests as if their deadlines had passed, in the order of their arrival.
    pub fn expire_open_requests(self: &Rc<Self>) {
        let mut open: Vec<RequestId> = self.state.borrow().requests.keys().copied().collect();
        open.sort();
        for id in open {
            self.deadline_expired(id);
        }
    }

    /// Records that the request's body was received completely: its deadline and the latency of its attempts count
    /// from now.
    pub fn body_received(self: &Rc<Self>, id: RequestId, time_left: Micros) {
        {
            let mut state = self.state.borrow_mut();
            let now = self.clock.now();
            let Some(request) = state.requests.get_mut(&id) else { return };
            request.deadline = now + time_left;
            for (key, attempt) in &mut state.attempts {
                if key.request == id {
                    attempt.latency_from = now;
                }
            }
        }
        self.handle_event(Event::BodyReceived { request: id, time_left });
    }
}
