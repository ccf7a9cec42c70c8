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
