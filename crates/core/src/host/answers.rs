//! The one final answer to a request.

use super::state::{Answer, OpenRequest, State};
use super::Host;
use lotusdeck_policy::{Micros, RequestId};

impl Host {
    /// Gives the final answer; nothing where the request is over.
    pub(super) fn finish(&self, s: &mut State, id: RequestId, answer: Answer) {
        if let Some(request) = s.requests.remove(&id) {
            self.settled(id, &request);
            let _ = request.answer.send(answer);
        }
    }

    /// Refuses a request: the client may come again after that time.
    pub(super) fn refuse(&self, s: &mut State, id: RequestId, retry_after: Micros) {
        s.counts.refused += 1;
        self.finish(s, id, Answer::Refused(retry_after));
    }

    /// Tells journal and limits that a request is over.
    pub(super) fn settled(&self, id: RequestId, request: &OpenRequest) {
        if let Some(journal) = self.beside.journal.as_ref().filter(|_| request.journaled) {
            journal.settled(id);
        }
        if let Some((gate, pass)) = self.beside.gate.as_ref().zip(request.pass.as_ref()) {
            gate.leave(pass);
        }
    }
}
