//! Events that the host reports to the balancer.

use super::backend::{Backend, ListUpdate};
use super::config::{Config, ReassignedIds};
use super::id::{AttemptNo, BackendId, ClassId, RequestId, TenantId, TimerToken};
use super::snapshot::Snapshot;
use super::time::Micros;

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// An error answer; it may have run.
    Error,
    /// Rejected before it ran.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Time until the client gives up.
    pub time_left: Micros,
    /// The expected work, as time on a standard core.
    pub work_hint: Option<Micros>,
    /// Whether the client marks the request as a retry.
    pub is_client_retry: bool,
    /// Whether a part of its body has not arrived yet; its time then starts at [`Event::BodyReceived`].
    pub body_incomplete: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time since its dispatch.
    pub latency: Micros,
    /// Whether the request has had its final answer, so that the balancer gives none.
    pub request_answered: bool,
    /// Whether the attempt has consumed the request's body, so that there can be no other attempt.
    pub body_consumed: bool,
}

/// An event that the host reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointsUpdated {
        /// What the update contains.
        update: ListUpdate,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// The full set of backends that operators have cordoned. They receive no new requests, regardless of the
    /// endpoint list. A backend that is no longer in the set may have been restarted while it was cordoned.
    Cordoned {
        /// All cordoned backends.
        backends: Vec<BackendId>,
    },
    /// A new configuration applies from now on. Classes and tenants keep their ids, except for the reassigned
    /// ones.
    ConfigApplied {
        /// The configuration.
        config: Box<Config>,
        /// Ids with a new meaning, to which no open request refers.
        reassigned: ReassignedIds,
    },
    /// The load that the other proxies report, if proxies gossip.
    FleetLoad {
        /// Attempts that the other proxies together have in flight.
        in_flight: f64,
    },
    /// The snapshot of an earlier process, as far as it is still trusted.
    Restored(Box<Snapshot>),
    /// The number of processes that act for this proxy, this one included: two during a handover.
    ProcessCount {
        /// Their number.
        count: u32,
    },
    /// A client's request, to which the balancer gives one final answer.
    Request(Arrival),
    /// The last byte of a request's body has arrived. The attempt that consumed the body is the only possible
    /// one.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// Time until the client gives up.
        time_left: Micros,
    },
    /// The answer is being streamed to the client: none of the balancer's timeouts ends the request any more.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The answer of an attempt has begun, and then nothing more of it has arrived for a while.
    AnswerPaused {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// More of an answer that had paused has arrived.
    AnswerResumed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; the request needs no answer.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token of the timer.
        token: TimerToken,
    },
}
