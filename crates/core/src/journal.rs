//! The interface between the core and the journal of non-idempotent requests.

use lotusdeck_ledger::LedgerStatus;
use lotusdeck_policy::{AttemptNo, Micros, Outcome, RequestId};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

/// Resolves to whether an attempt may write its first byte.
pub type SendPermit = Pin<Box<dyn Future<Output = bool>>>;

/// Labels that identify a request to operators who read the journal.
pub struct RequestLabels {
    /// The client's correlation id.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// What the request concerns, as named by the client.
    pub key: String,
}

/// Records non-idempotent requests and their attempts, in the order of events. No method blocks.
pub trait Journal {
    /// Returns the time after which the client may retry, if no non-idempotent request can be admitted now.
    fn unavailable_for(&self) -> Option<Micros>;
    /// Records a request that was received.
    fn record_request(&self, request: RequestId, labels: RequestLabels);
    /// Records that the request's next attempt is to be sent to that backend. The attempt is sent once the returned
    /// permit resolves to true, and not at all if it resolves to false.
    fn record_intent(
        &self, request: RequestId, attempt: AttemptNo, backend: &str, address: SocketAddr,
    ) -> SendPermit;
    /// Records that an attempt ended; `status` is that of its answer, if there was one.
    fn record_attempt_end(
        &self, request: RequestId, attempt: AttemptNo, outcome: Outcome, status: Option<u16>,
    );
    /// Records that the client has its final answer or has disconnected: no further attempt follows.
    fn record_request_end(&self, request: RequestId);
    /// Returns the current state, for operators.
    fn status(&self) -> LedgerStatus;
}
