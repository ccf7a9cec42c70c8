//! The final answer to a request.

use super::state::{Answer, OpenRequest, State};
use super::{Host, LOG_TARGET};
use lotusdeck_policy::{Micros, RequestId};
use tracing::debug;

impl Host {
    /// Gives a request its final answer, unless the request is over already.
    pub(super) fn finish(&self, state: &mut State, id: RequestId, answer: Answer) {
        let Some(request) = state.requests.remove(&id) else { return };
        self.release_request(id, &request);
        debug!(target: LOG_TARGET, request = id.0, attempts = request.attempts, ?answer, "request ended");
        // Fails if the client has disconnected, as the receiver is dropped then.
        let _ = request.answer.send(answer);
    }

    /// Leaves the final answer to an attempt whose answer is under way, if there is one, and has it given to the front now.
    /// `instead` is the answer if that attempt fails. Returns whether there is one.
    pub(super) fn defer_to_answer_under_way(
        &self, state: &mut State, id: RequestId, instead: Answer,
    ) -> bool {
        let uses_client = |request: &OpenRequest| request.exchange.attempt_uses_client();
        if state.requests.get(&id).is_none_or(uses_client) {
            return false;
        }
        let Some(attempt) = state.answering_attempt(id) else { return false };
        attempt.early_answer.request();
        debug!(target: LOG_TARGET, request = id.0, "final answer left to an answer that is under way");
        if let Some(request) = state.requests.get_mut(&id) {
            request.given_up.get_or_insert(instead);
        }
        true
    }

    /// Ends a request that the balancer has given up, once no answer to it is under way.
    pub(super) fn finish_given_up(&self, state: &mut State, id: RequestId) {
        let given_up = state.requests.get(&id).and_then(|request| request.given_up);
        let Some(answer) = given_up.filter(|_| state.answering_attempt(id).is_none()) else { return };
        match answer {
            Answer::Rejected(retry_after) => self.reject(state, id, retry_after),
            answer => {
                state.counts.failed += 1;
                self.finish(state, id, answer);
            }
        }
    }

    /// Rejects a request; the client may retry after `retry_after`.
    pub(super) fn reject(&self, state: &mut State, id: RequestId, retry_after: Micros) {
        state.counts.rejected += 1;
        self.finish(state, id, Answer::Rejected(retry_after));
    }

    /// Notifies the journal and the fleet limiter that a request is over.
    pub(super) fn release_request(&self, id: RequestId, request: &OpenRequest) {
        if let Some(journal) = self.services.journal.as_ref().filter(|_| request.journaled) {
            journal.record_request_end(id);
        }
        if let (Some(limiter), Some(admission)) = (&self.services.fleet_limiter, &request.admission) {
            limiter.release(admission);
        }
    }
}
