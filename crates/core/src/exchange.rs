//! What a protocol brings to the core.

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

/// An attempt under way. Dropping it gives the attempt up: what it was sent on has to be closed with it.
pub type AttemptFuture = Pin<Box<dyn Future<Output = Outcome>>>;

/// One request, as its protocol sends it. It may be sent several times, by [`AttemptContext::attempt`] told apart; a served
/// answer stays with the work until its front fetches it.
pub trait Exchange {
    /// Sends it once and waits for the answer, or for its beginning where it is large. [`AttemptContext::cleared`] has to be
    /// awaited and [`AttemptContext::may_send`] asked at the moment of the first byte, and nothing sent where either says no:
    /// [`Outcome::NeverSent`].
    fn send_attempt(self: Rc<Self>, leg: AttemptContext) -> AttemptFuture;

    /// Part of it is gone: no other attempt can send it.
    fn body_consumed(&self) -> bool;

    /// The status of the answer that ended an attempt, as its protocol counts; `None` where there was no answer.
    fn answer_status(&self, attempt: AttemptNo) -> Option<u16>;
}

/// Where and until when an attempt goes.
pub struct AttemptContext {
    /// Which attempt of its request this is.
    pub attempt: AttemptNo,
    /// The backend, and where it listens.
    pub backend: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// When the client gives up.
    pub deadline: Instant,
    /// Asked at the moment of the first byte.
    pub(crate) gate: Box<dyn Fn() -> bool>,
    /// What has to be written down before it.
    pub(crate) clearance: RefCell<Option<SendPermit>>,
}

impl AttemptContext {
    /// Waits until the attempt is written down, where that has to be. To be awaited once a connection stands, before
    /// [`AttemptContext::may_send`] is asked; the wait is bounded. No means that not a byte may be sent.
    pub fn journaled(&self) -> impl Future<Output = bool> + use<> {
        let clearance = self.clearance.take();
        async {
            match clearance {
                Some(clearance) => clearance.await,
                None => true,
            }
        }
    }

    /// The backend may still be sent to, the request still waits, and a repeat is still one that is dropped. It may
    /// have become otherwise while a connection came up.
    pub fn may_send(&self) -> bool {
        (self.gate)()
    }
}

/// The connections of a protocol to backends.
pub trait ConnectionPools {
    /// These backends may be sent requests: nothing is kept of any other.
    fn retain_backends(&self, backends: &HashSet<BackendId>);

    /// An attempt sent at that time was given up unanswered.
    fn attempt_unanswered(&self, backend: BackendId, sent: Instant);

    /// Other figures hold from now on.
    fn apply_settings(&self, network: &NetworkSettings);
}
