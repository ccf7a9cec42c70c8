//! Actions that the balancer requests from the host.

use super::id::{AttemptNo, BackendId, RequestId, TimerToken};
use super::time::Micros;

/// An action that the balancer requests from the host. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; it may run until the client gives up.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The backend to send it to.
        backend: BackendId,
    },
    /// Give the final answer: rejected, and the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client should retry.
        retry_after: Micros,
    },
    /// Give the final answer: failed, and the request may have run.
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
    /// Give up an attempt whose answer has paused, so that another can be sent.
    Replace {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Set a timer that reports [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// The token that the event reports.
        token: TimerToken,
        /// Time until it expires.
        after: Micros,
    },
    /// Subscribe to the endpoint list.
    WatchEndpoints,
    /// Write a line to the log.
    Log(String),
}
