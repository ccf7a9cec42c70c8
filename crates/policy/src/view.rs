//! Views of the balancer's state, for display.

use crate::api::{BackendId, BackendState, KindId, Time};
use crate::backend_health::BackendHealth;
use crate::estimates::KindStats;

/// The state of a kind of machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindView {
    /// The kind.
    pub id: KindId,
    /// Sum of the readiness of its backends.
    pub readiness: f64,
    /// Requests per second that one backend could serve; 0 before the first solution.
    pub service_rate: f64,
    /// Its share of the traffic of all proxies.
    pub traffic_share: f64,
}

impl KindView {
    pub(crate) fn new(id: KindId, kind: &KindStats) -> KindView {
        KindView {
            id,
            readiness: kind.readiness,
            service_rate: kind.service_rate,
            traffic_share: kind.fleet_share,
        }
    }
}

/// The state of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendView {
    /// The backend.
    pub id: BackendId,
    /// Its kind.
    pub kind: KindId,
    /// Its state in the endpoint list.
    pub state: BackendState,
    /// Whether operators have cordoned the backend.
    pub cordoned: bool,
    /// Readiness, from 0 (receives no requests) to 1 (healthy and warmed up).
    pub readiness: f64,
    /// Its share of this proxy's traffic.
    pub traffic_share: f64,
    /// Attempts of this proxy in flight on the backend.
    pub in_flight: u32,
    /// Maximum number of attempts of this proxy in flight on the backend.
    pub in_flight_limit: f64,
    /// Moving share of failed attempts.
    pub error_rate: f64,
    /// Earliest end of its ejection; `None` while it is neither ejected nor on probation.
    pub ejected_until: Option<Time>,
}

impl BackendView {
    pub(crate) fn new(id: BackendId, backend: &BackendHealth) -> BackendView {
        BackendView {
            id,
            kind: backend.entry.kind,
            state: backend.entry.state,
            cordoned: backend.cordoned,
            readiness: backend.plan.readiness,
            traffic_share: backend.plan.traffic_share,
            in_flight: backend.load.in_flight,
            in_flight_limit: backend.plan.in_flight_limit,
            error_rate: backend.error_rate,
            ejected_until: backend.ejection.until,
        }
    }
}
