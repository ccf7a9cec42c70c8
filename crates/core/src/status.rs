//! What the proxy knows and does at this moment, for operators.

use crate::counts::Counts;
use crate::fleet_limits::FleetLimitStatus;
use lotusdeck_ledger::LedgerStatus;
use serde::Serialize;

/// One document on the whole process.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// How often settings were taken since the start.
    pub settings_generation: u64,
    /// Requests that wait for their answer.
    pub open_requests: usize,
    /// Attempts that are out.
    pub open_attempts: usize,
    /// How late timers fire, us.
    pub timer_lag_us: u64,
    /// Since the start.
    pub counts: Counts,
    /// The journal of requests that must never run twice, where there is one.
    pub ledger: Option<LedgerStatus>,
    /// The fleet's limits, where there are any.
    pub fleet: Option<FleetLimitStatus>,
    /// By kind of machine.
    pub kinds: Vec<KindStatus>,
    /// In the order in which they were met.
    pub backends: Vec<BackendStatus>,
}

/// What is learned of a kind of machine.
#[derive(Clone, Debug, Serialize)]
pub struct KindStatus {
    /// Its name.
    pub name: String,
    /// Sum of the readiness of its backends.
    #[serde(rename = "ready")]
    pub readiness: f64,
    /// Requests a second that one backend could serve, as learned; 0 before anything was.
    #[serde(rename = "speed_rps")]
    pub service_rate_rps: f64,
    /// Part of the traffic that it is due.
    #[serde(rename = "share")]
    pub traffic_share: f64,
}

/// One backend.
#[derive(Clone, Debug, Serialize)]
pub struct BackendStatus {
    /// Its id in the list.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// What the list says: `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Operators have taken it out.
    pub cordoned: bool,
    /// Its kind.
    pub kind: String,
    /// From 0 (nothing is sent) to 1 (healthy and warm).
    #[serde(rename = "ready")]
    pub readiness: f64,
    /// Its part of this proxy's traffic.
    #[serde(rename = "share")]
    pub traffic_share: f64,
    /// Attempts that it holds, of this proxy.
    #[serde(rename = "held")]
    pub in_flight: u32,
    /// ... and may hold.
    #[serde(rename = "room")]
    pub in_flight_limit: f64,
    /// Running share of error answers.
    #[serde(rename = "errors")]
    pub error_rate: f64,
    /// It is out of use for its failures.
    pub ejected: bool,
}
