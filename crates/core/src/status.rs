//! The current state of the proxy, for operators.

use crate::counts::Counts;
use crate::fleet_limits::FleetLimitStatus;
use lotusdeck_ledger::LedgerStatus;
use serde::Serialize;

/// The state of the whole process.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Number of settings that have been active since the start.
    pub settings_generation: u64,
    /// Requests that wait for their answer.
    pub open_requests: usize,
    /// Attempts in flight.
    pub open_attempts: usize,
    /// How late timers fire, µs.
    pub timer_lag_us: u64,
    /// Counts since the start.
    pub counts: Counts,
    /// The journal of non-idempotent requests, if there is one.
    pub ledger: Option<LedgerStatus>,
    /// The fleet's limits, if there are any.
    pub fleet: Option<FleetLimitStatus>,
    /// The estimates of each kind of machine.
    pub kinds: Vec<KindStatus>,
    /// The backends in the order in which they were discovered.
    pub backends: Vec<BackendStatus>,
}

/// The estimates of a kind of machine.
#[derive(Clone, Debug, Serialize)]
pub struct KindStatus {
    /// Its name.
    pub name: String,
    /// Sum of the readiness of its backends.
    #[serde(rename = "ready")]
    pub readiness: f64,
    /// Requests per second that one backend can serve, as estimated; 0 without an estimate.
    #[serde(rename = "speed_rps")]
    pub service_rate_rps: f64,
    /// Fraction of the traffic that it should get.
    #[serde(rename = "share")]
    pub traffic_share: f64,
}

/// One backend.
#[derive(Clone, Debug, Serialize)]
pub struct BackendStatus {
    /// Its name in the endpoint list.
    pub name: String,
    /// The address that it listens on.
    pub address: String,
    /// Its state in the endpoint list: `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Whether operators have cordoned it.
    pub cordoned: bool,
    /// The name of its kind of machine.
    pub kind: String,
    /// Readiness, from 0 (receives no requests) to 1 (healthy and warmed up).
    #[serde(rename = "ready")]
    pub readiness: f64,
    /// Its fraction of this proxy's traffic.
    #[serde(rename = "share")]
    pub traffic_share: f64,
    /// This proxy's attempts in flight to it.
    #[serde(rename = "held")]
    pub in_flight: u32,
    /// Limit on this proxy's attempts in flight to it.
    #[serde(rename = "room")]
    pub in_flight_limit: f64,
    /// Moving average of the fraction of error answers.
    #[serde(rename = "errors")]
    pub error_rate: f64,
    /// Whether it is ejected for its failures.
    pub ejected: bool,
}
