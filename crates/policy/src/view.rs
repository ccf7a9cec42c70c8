//! What the module knows, to be shown. No decisions.

use crate::interface::*;
use crate::rules::Balancer;

/// What is learned of a kind of machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindView {
    /// Which.
    pub id: KindId,
    /// Sum of the readiness of its backends.
    pub ready: f64,
    /// Requests a second that one backend could serve; 0 before anything was learned.
    pub speed: f64,
    /// Part of all proxies' traffic that it is due.
    pub share: f64,
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
    pub ready: f64,
    /// Its part of this proxy's traffic.
    pub share: f64,
    /// Attempts of this proxy that it holds, and may hold.
    pub held: u32,
    /// How many it may hold.
    pub room: f64,
    /// Running share of error answers.
    pub errors: f64,
    /// Out of use, until this time at least.
    pub ejected: Option<Time>,
}

impl Balancer {
    /// The kinds of machines, in the order of their numbers.
    pub fn kinds(&self) -> impl Iterator<Item = KindView> + '_ {
        self.kinds.iter().map(|(id, k)| KindView { id: *id, ready: k.ready, speed: k.speed, share: k.share })
    }

    /// The backends, in the order of their numbers.
    pub fn backends(&self) -> impl Iterator<Item = BackendView> + '_ {
        self.peers.iter().map(|(id, p)| BackendView {
            id: *id,
            kind: p.entry.kind,
            state: p.entry.state,
            cordoned: p.cordoned,
            ready: p.ready,
            share: p.pull,
            held: p.out,
            room: p.room,
            errors: p.errors,
            ejected: p.ejected,
        })
    }
}
