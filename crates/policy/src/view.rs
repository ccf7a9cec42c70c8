//! What the module knows, to be shown. No decisions.

use crate::api::*;
use crate::rules::Balancer;

/// What is learned of a kind of machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindView {
    /// Which.
    pub id: KindId,
    /// Sum of the readiness of its backends.
    pub readiness: f64,
    /// Requests a second that one backend could serve; 0 before anything was learned.
    pub service_rate: f64,
    /// Part of all proxies' traffic that it is due.
    pub traffic_share: f64,
}

/// What is known of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendView {
    /// Which.
    pub id: BackendId,
    /// Its kind.
    pub kind: KindId,
    /// What the list lets it be sent.
    pub state: BackendState,
    /// Operators have taken it out.
    pub cordoned: bool,
    /// From 0 (send nothing) to 1 (healthy and warm).
    pub readiness: f64,
    /// Its part of this proxy's traffic.
    pub traffic_share: f64,
    /// Attempts of this proxy that it holds, and may hold.
    pub in_flight: u32,
    /// How many it may hold.
    pub in_flight_limit: f64,
    /// Running share of error answers.
    pub error_rate: f64,
    /// Out of use, until this time at least.
    pub ejected_until: Option<Time>,
}

impl Balancer {
    /// The kinds of machines, in the order of their numbers.
    pub fn kinds(&self) -> impl Iterator<Item = KindView> + '_ {
        self.kinds.iter().map(|(id, k)| KindView {
            id: *id,
            readiness: k.ready,
            service_rate: k.speed,
            traffic_share: k.share,
        })
    }

    /// The backends, in the order of their numbers.
    pub fn backends(&self) -> impl Iterator<Item = BackendView> + '_ {
        self.peers.iter().map(|(id, p)| BackendView {
            id: *id,
            kind: p.entry.kind,
            state: p.entry.state,
            cordoned: p.cordoned,
            readiness: p.ready,
            traffic_share: p.pull,
            in_flight: p.out,
            in_flight_limit: p.room,
            error_rate: p.errors,
            ejected_until: p.ejected,
        })
    }
}
