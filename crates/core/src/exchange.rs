//! The interface between the core and a protocol: exchanges that send themselves, and the connections they use.

use crate::journal::SendPermit;
use lotusdeck_policy::settings::NetworkSettings;
use lotusdeck_policy::{AttemptNo, BackendId, Outcome};
use std::cell::RefCell;
use std::collections::HashSet;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::time::Instant;

/// An attempt in flight. Dropping it gives the attempt up, and has to close the connection that it was sent on.
pub type AttemptFuture = Pin<Box<dyn Future<Output = Outcome>>>;

/// One request and its answer, in its protocol. It may be sent several times, as attempts that
/// [`AttemptContext::attempt`] tells apart; the answer of the served attempt stays with it until it is fetched.
pub trait Exchange {
    /// Sends the request once and waits for the answer, or for the beginning of a large one.
    ///
    /// Once a connection is up, [`AttemptContext::journaled`] has to be awaited, and [`AttemptContext::may_send`]
    /// called right before the first byte. If either returns false, nothing is sent and the outcome is
    /// [`Outcome::NeverSent`].
    fn send_attempt(self: Rc<Self>, context: AttemptContext) -> AttemptFuture;

    /// Part of the request's body is no longer available: no further attempt can send it.
    fn body_consumed(&self) -> bool;

    /// The protocol's status of the answer to an attempt; `None` where there was no answer.
    fn answer_status(&self, attempt: AttemptNo) -> Option<u16>;
}

/// Where and until when an attempt is sent, and what has to hold before its first byte.
pub struct AttemptContext {
    /// Which attempt of its request this is.
    pub attempt: AttemptNo,
    /// The backend that it is sent to.
    pub backend: BackendId,
    /// Where the backend listens.
    pub address: SocketAddr,
    /// When the client gives up.
    pub deadline: Instant,
    /// Whether the attempt may still be sent.
    pub(crate) send_check: Box<dyn Fn() -> bool>,
    /// Resolves when the attempt is in the journal; taken by the first call of [`AttemptContext::journaled`].
    pub(crate) send_permit: RefCell<Option<SendPermit>>,
}

impl AttemptContext {
    /// Waits, for a bounded time, until the attempt is in the journal if it has to be; returns whether it may be sent.
    /// To be awaited once a connection is up and before [`AttemptContext::may_send`] is called.
    pub fn journaled(&self) -> impl Future<Output = bool> + use<> {
        let permit = self.send_permit.take();
        async {
            match permit {
                Some(permit) => permit.await,
                None => true,
            }
        }
    }

    /// Whether the backend may still be sent requests, the request still waits for its answer, and a retry still
    /// falls in the idempotency window: each may have changed while the connection came up.
    pub fn may_send(&self) -> bool {
        (self.send_check)()
    }
}

/// One protocol's connections to backends.
pub trait ConnectionPools {
    /// Closes idle connections to all backends but these, and keeps none of theirs from now on.
    fn retain_backends(&self, backends: &HashSet<BackendId>);

    /// An attempt handed over for sending at `sent` was given up before its answer.
    fn attempt_unanswered(&self, backend: BackendId, sent: Instant);

    /// Applies new timeouts from now on.
    fn apply_settings(&self, network: &NetworkSettings);
}
