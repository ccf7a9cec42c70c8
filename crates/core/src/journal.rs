//! What a core asks of a journal of requests that must never run twice.

use lotusdeck_policy::{AttemptNo, Micros, Outcome, RequestId};
use serde::Serialize;
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
    fn status(&self) -> JournalStatus;
}

/// A journal at this moment.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct JournalStatus {
    /// Records handed over and not written yet.
    pub depth: u64,
    /// Records written.
    pub records: u64,
    /// Writes: each took all records that were waiting.
    pub writes: u64,
    /// Syncs to the disk.
    pub syncs: u64,
    /// Bytes written.
    pub bytes: u64,
    /// Records that could not be written.
    pub failed: u64,
    /// How long the last write took, us.
    pub last_write_us: u64,
    /// Bytes that the disk still takes.
    pub free_bytes: u64,
    /// Nothing can be written at present.
    pub failing: bool,
}
