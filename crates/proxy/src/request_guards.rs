//! Guards that release what a request holds, however it ends.

use crate::client::Client;
use crate::front_state::FrontState;
use lotusdeck_core::Host;
use lotusdeck_policy::RequestId;
use std::rc::Rc;

/// A connection with an open request. Dropping it, at the end of the answer, returns the connection to waiting for
/// its next request.
pub(crate) struct BusyConnection {
    pub front: Rc<FrontState>,
    pub client: Rc<Client>,
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.client.idle_since.set(tokio::time::Instant::now());
        self.client.stream.mark_idle();
        self.client.is_busy.set(false);
        self.client.is_streaming.set(false);
        self.front.clients.record_answered(&self.client);
    }
}

/// Notifies the core when an unanswered request is dropped, as hyper does when the client has disconnected.
pub(crate) struct UnansweredRequest<'a> {
    host: &'a Rc<Host>,
    id: RequestId,
    is_unanswered: bool,
}

impl<'a> UnansweredRequest<'a> {
    pub(crate) fn new(host: &'a Rc<Host>, id: RequestId) -> UnansweredRequest<'a> {
        UnansweredRequest { host, id, is_unanswered: true }
    }

    pub(crate) fn mark_answered(&mut self) {
        self.is_unanswered = false;
    }
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if self.is_unanswered {
            self.host.client_disconnected(self.id);
        }
    }
}
