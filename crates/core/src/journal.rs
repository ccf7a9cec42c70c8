//! What a core asks of a journal of requests that must never run twice.

use lotusdeck_ledger::LedgerStatus;
use lotusdeck_policy::{AttemptNo, Micros, Outcome, RequestId};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

/// Resolves to whether an attempt may write its first byte.
pub type SendPermit = Pin<Box<dyn Future<Output = bool>>>;

/// What names a request to people.
pub struct RequestLabels {
    /// The client's id for it.
    pub id: String,
    /// Its class.
    pub class: String,
    /// What it concerns.
    pub key: String,
}

/// Told of every request that must never run twice, in the order of events. No call waits for anything.
pub trait Journal {
    /// Why no such request can be taken now: when the client had better come again.
    fn unavailable_for(&self) -> Option<Micros>;
    /// A request was taken.
    fn request_taken(&self, request: RequestId, labels: RequestLabels);
    /// Its next attempt goes to that backend once this resolves to yes, and not at all where it resolves to no.
    fn attempt_intended(
        &self, request: RequestId, attempt: AttemptNo, backend: &str, address: SocketAddr,
    ) -> SendPermit;
    /// An attempt ended; with the status of its answer where there was one.
    fn attempt_ended(&self, request: RequestId, attempt: AttemptNo, outcome: Outcome, status: Option<u16>);
    /// The client has its answer, or has left: no attempt follows.
    fn request_finished(&self, request: RequestId);
    /// For operators.
    fn status(&self) -> LedgerStatus;
}
