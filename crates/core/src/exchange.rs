//! The interface between the core and a protocol: exchanges, which send their attempts, and the connections they
//! use.

use crate::early_answer::EarlyAnswer;
use crate::journal::SendPermit;
use lotusdeck_policy::settings::NetworkSettings;
use lotusdeck_policy::{AttemptNo, BackendId, Outcome, RequestId};
use std::cell::RefCell;
use std::collections::HashSet;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::time::Instant;

/// An attempt in flight, which resolves to its outcome. Dropping it gives the attempt up and must close the
/// connection that the attempt was sent on.
pub type AttemptFuture = Pin<Box<dyn Future<Output = Outcome>>>;

/// A request and its answer in a particular protocol. It may be sent several times, as attempts numbered by
/// [`AttemptContext::attempt`]; it keeps the answer of the successful attempt until the front fetches it.
pub trait Exchange {
    /// Sends the request once and waits for the answer, or for the beginning of a large one.
    ///
    /// Once a connection is established, implementations must await [`AttemptContext::journaled`], and call
    /// [`AttemptContext::may_send`] right before the first byte. If either returns false, they send nothing and
    /// return [`Outcome::NeverSent`].
    fn send_attempt(self: Rc<Self>, context: AttemptContext) -> AttemptFuture;

    /// Returns whether part of the request's body is no longer available, so that no further attempt can send it.
    fn body_consumed(&self) -> bool;

    /// Returns whether an attempt in flight uses something of the client that its next request uses as well, such as its
    /// connection. Such an attempt ends with its request, even if the balancer may not cancel attempts.
    fn attempt_uses_client(&self) -> bool;

    /// Returns the protocol's status of the answer to an attempt; `None` if there was no answer.
    fn answer_status(&self, attempt: AttemptNo) -> Option<u16>;
}

/// What a protocol reports of an answer that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing more of it has arrived for a while.
    Paused,
    /// It goes on after a pause.
    Resumed,
    /// Its first part was given to the client, so that no other attempt can replace it.
    Delivered,
}

/// The target and the deadline of an attempt, and the checks that precede its first byte.
pub struct AttemptContext {
    /// The request that it belongs to.
    pub request: RequestId,
    /// The number of the attempt among those of its request.
    pub attempt: AttemptNo,
    /// The backend that it is sent to.
    pub backend: BackendId,
    /// The address that the backend listens on.
    pub address: SocketAddr,
    /// When the client gives up.
    pub deadline: Instant,
    /// When the beginning of a large answer has to be given to the front, as the balancer is about to end the request.
    pub answer_by: Instant,
    /// Whether the answer has begun, and is given to the front before it is complete. Until its request is over, an
    /// attempt whose answer is under way is not withdrawn.
    pub early_answer: Rc<EarlyAnswer>,
    /// Reports the pauses of the answer.
    pub report_progress: Rc<dyn Fn(AnswerProgress)>,
    /// Returns whether the attempt may still be sent.
    pub(crate) send_check: Box<dyn Fn() -> bool>,
    /// Resolves when the attempt is recorded in the journal; taken by the first call of
    /// [`AttemptContext::journaled`].
    pub(crate) send_permit: RefCell<Option<SendPermit>>,
}

impl AttemptContext {
    /// Waits, for a bounded time, until the attempt is recorded in the journal if it has to be; returns whether it
    /// may be sent. Must be awaited once a connection is established and before [`AttemptContext::may_send`] is
    /// called.
    pub fn journaled(&self) -> impl Future<Output = bool> + use<> {
        let permit = self.send_permit.take();
        async {
            match permit {
                Some(permit) => permit.await,
                None => true,
            }
        }
    }

    /// Returns whether the backend may still be sent requests, the request still waits for its answer, and a retry
    /// is still within the idempotency window: each may have changed while the connection was being established.
    pub fn may_send(&self) -> bool {
        (self.send_check)()
    }
}

/// The connections of a protocol to backends.
pub trait ConnectionPools {
    /// Closes the idle connections to all other backends, and keeps no connections to those from now on.
    fn retain_backends(&self, backends: &HashSet<BackendId>);

    /// Reports that an attempt, handed over for sending at `sent`, was given up before its answer.
    fn attempt_unanswered(&self, backend: BackendId, sent: Instant);

    /// Applies new timeouts from now on.
    fn apply_settings(&self, network: &NetworkSettings);
}
