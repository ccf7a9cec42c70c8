//! The configuration of a node.

use crate::membership::{Identity, Seed};
use crate::quota::QuotaConfig;
use crate::wire;
use std::num::NonZeroU32;
use std::time::Duration;

/// A limit that holds for the whole fleet.
///
/// Its debug text is a part of the tag of all datagrams: proxies understand each other only where the names and the order
/// of these fields are the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Its name in the log and the status.
    pub name: String,
    /// Requests a second.
    pub rate: Option<f64>,
    /// Concurrent requests.
    pub slots: Option<u32>,
    /// What an unused quota accumulates at most, as a span of its rate.
    pub burst: Duration,
}

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The fleet's site; datagrams of another site are not read.
    pub site: String,
    /// This proxy.
    pub identity: Identity,
    /// Proxies of the fleet.
    pub fleet_size: NonZeroU32,
    /// Some of the proxies, which a new one announces itself to.
    pub seeds: Vec<Seed>,
    /// The limits, the same at every proxy.
    pub limits: Vec<Limit>,
    /// How long a lease lasts.
    pub lease_duration: Duration,
    /// No request is in flight for longer.
    pub max_request_duration: Duration,
    /// Of the random choice of members to probe and to ask.
    pub rng_seed: u64,
}

impl NodeConfig {
    /// The tag of everything that has to be the same at all proxies of the fleet.
    pub(super) fn tag(&self) -> u32 {
        let NodeConfig { site, fleet_size, limits, lease_duration, max_request_duration, .. } = self;
        wire::tag(&format!("{site:?} {fleet_size} {lease_duration:?} {max_request_duration:?} {limits:?}"))
    }

    /// This proxy's quota of a limit.
    pub(super) fn quota_config(&self, limit: &Limit) -> QuotaConfig {
        QuotaConfig {
            rate: limit.rate,
            slots: limit.slots,
            burst: limit.burst,
            lease_duration: self.lease_duration,
            max_request_duration: self.max_request_duration,
            fleet_size: self.fleet_size.get(),
            proxy_index: self.identity.proxy_index,
        }
    }
}
