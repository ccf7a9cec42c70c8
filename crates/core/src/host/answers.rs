//! The one final answer to a request.

use super::state::{Answer, OpenRequest, State};
use super::Host;
use lotusdeck_policy::{Micros, RequestId};

impl Host {
    /// Gives the final answer; nothing where the request is over.
    pub(super) fn finish(&self, s: &mut State, id: RequestId, answer: Answer) {
        if let Some(request) = s.requests.remove(&id) {
            self.release_request(id, &request);
            let _ = request.answer.send(answer);
        }
    }

    /// Refuses a request: the client may come again after that time.
    pub(super) fn reject(&self, s: &mut State, id: RequestId, retry_after: Micros) {
        s.counts.rejected += 1;
        self.finish(s, id, Answer::Rejected(retry_after));
    }

    /// Tells journal and limits that a request is over.
    pub(super) fn release_request(&self, id: RequestId, request: &OpenRequest) {
        if let Some(journal) = self.services.journal.as_ref().filter(|_| request.journaled) {
            journal.request_finished(id);
        }
        if let Some((gate, pass)) = self.services.fleet_limiter.as_ref().zip(request.admission.as_ref()) {
            gate.release(pass);
        }
    }
}
