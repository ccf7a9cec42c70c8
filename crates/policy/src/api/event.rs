//! What the host reports to the balancer.

use super::backend::{Backend, ListUpdate};
use super::config::{Config, ReassignedIds};
use super::id::{AttemptNo, BackendId, ClassId, RequestId, TenantId, TimerToken};
use super::snapshot::Snapshot;
use super::time::Micros;

/// How an attempt ended.
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
    /// Whether this outcome proves that the attempt never ran.
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
    /// The client marks the request as a retry of its own.
    pub is_client_retry: bool,
    /// A part of its body is still to come: its time begins with [`Event::BodyReceived`].
    pub body_incomplete: bool,
}

/// How an attempt ended.
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
    /// The request has had its final answer; the balancer gives none.
    pub request_answered: bool,
    /// The attempt has consumed the request's body: there can be no other.
    pub body_consumed: bool,
}

/// What the host reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointsUpdated {
        /// What the entries are.
        update: ListUpdate,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// Operators have taken exactly these backends out of service: they get nothing new, whatever the
    /// endpoint list says. One that was among them before may have been restarted meanwhile.
    Cordoned {
        /// All backends that are out of service.
        backends: Vec<BackendId>,
    },
    /// Another configuration holds from now on. Classes and tenants keep their numbers, but for the
    /// reassigned ones.
    ConfigApplied {
        /// The configuration.
        config: Box<Config>,
        /// Numbers that nothing open refers to and that have a new meaning.
        reassigned: ReassignedIds,
    },
    /// The load that the other proxies report, where proxies gossip.
    FleetLoad {
        /// Attempts that all of them together have in flight.
        in_flight: f64,
    },
    /// What an earlier process learned, as far as it is still trusted.
    Restored(Box<Snapshot>),
    /// The number of processes that act for this proxy, this one included: two while one takes over from the
    /// other.
    ProcessCount {
        /// Their number.
        count: u32,
    },
    /// A client's request: it is owed one final answer.
    Request(Arrival),
    /// The last byte of a request's body has come; the attempt that consumed it is the only one there can be.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// Time until the client gives up.
        time_left: Micros,
    },
    /// The answer streams to the client: no time-out of the balancer applies to the attempt any more.
    StreamStarted {
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
