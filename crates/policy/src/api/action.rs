//! What the balancer asks of the host.

use super::id::{AttemptNo, BackendId, RequestId, TimerToken};
use super::time::Micros;

/// What the balancer asks of the host, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; it may run until the client gives up.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Its destination.
        backend: BackendId,
    },
    /// Final answer: rejected, and the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// After what time the client had better retry.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Set a timer that reports [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// The token that it reports.
        token: TimerToken,
        /// Time until it expires.
        after: Micros,
    },
    /// Subscribe to the endpoint list.
    WatchEndpoints,
    /// Write a line to the log.
    Log(String),
}
