//! The interface between the core and the journal of non-idempotent requests.

use lotusdeck_ledger::LedgerStatus;
use lotusdeck_policy::{AttemptNo, Micros, Outcome, RequestId};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

/// Resolves to whether an attempt may write its first byte.
pub type SendPermit = Pin<Box<dyn Future<Output = bool>>>;

/// Identifies a request to operators who read the journal.
pub struct RequestLabels {
    /// The client's correlation id.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// What the request concerns, as the client names it.
    pub key: String,
}

/// Is notified of every non-idempotent request, in the order of events. No call blocks.
pub trait Journal {
    /// If no such request can be admitted now: after what time the client may retry.
    fn unavailable_for(&self) -> Option<Micros>;
    /// A request was received.
    fn request_taken(&self, request: RequestId, labels: RequestLabels);
    /// The request's next attempt is to be sent to that backend; it is sent once the permit resolves to true, and not
    /// at all if it resolves to false.
    fn attempt_intended(
        &self, request: RequestId, attempt: AttemptNo, backend: &str, address: SocketAddr,
    ) -> SendPermit;
    /// An attempt ended; `status` is that of its answer where there was one.
    fn attempt_ended(&self, request: RequestId, attempt: AttemptNo, outcome: Outcome, status: Option<u16>);
    /// The client has its final answer, or has disconnected: no attempt follows.
    fn request_finished(&self, request: RequestId);
    /// The present state, for operators.
    fn status(&self) -> LedgerStatus;
}
