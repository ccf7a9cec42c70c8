//! Guards that release what a request holds, however it ends.

use crate::client::Client;
use crate::front_state::FrontState;
use hyper::header::HeaderValue;
use lotusdeck_core::Host;
use lotusdeck_policy::RequestId;
use std::cell::RefCell;
use std::collections::HashSet;
use std::ops::Deref;
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

/// The ids of the requests that are open.
pub(crate) type OpenIds = RefCell<HashSet<HeaderValue>>;

/// Prevents the id of an open request from being used twice. `Ids` refers to the ids that are open: a shared
/// reference where the guard outlives the request's handler, held by an answer that is still being sent.
pub(crate) struct OpenId<Ids: Deref<Target = OpenIds>> {
    open_ids: Ids,
    id: HeaderValue,
}

impl<Ids: Deref<Target = OpenIds>> OpenId<Ids> {
    /// Reserves an id; returns `None` if a request with this id is open.
    pub(crate) fn new(open_ids: Ids, id: HeaderValue) -> Option<OpenId<Ids>> {
        // No guard is created for a duplicate: dropping it would free the id of the open request.
        if !open_ids.borrow_mut().insert(id.clone()) {
            return None;
        }
        Some(OpenId { open_ids, id })
    }

    /// Returns the reserved id.
    pub(crate) fn id(&self) -> &HeaderValue {
        &self.id
    }
}

impl<Ids: Deref<Target = OpenIds>> Drop for OpenId<Ids> {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
