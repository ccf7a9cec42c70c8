//! The configuration of a node.

use crate::membership::{Identity, Seed};
use crate::quota::QuotaConfig;
use crate::wire;
use std::num::NonZeroU32;
use std::time::Duration;

/// A limit that applies to the whole fleet.
///
/// Its `Debug` text is part of the tag of all datagrams: proxies accept each other's datagrams only if their programs
/// have the same names and order of these fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Name in the log and the status.
    pub name: String,
    /// Requests a second.
    pub rate: Option<f64>,
    /// Concurrent requests.
    pub slots: Option<u32>,
    /// Maximum that an unused quota accumulates, as a duration at its rate.
    pub burst: Duration,
}

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Site of the fleet; datagrams of another site are rejected.
    pub site: String,
    /// Identity of this proxy.
    pub identity: Identity,
    /// Number of proxies in the fleet.
    pub fleet_size: NonZeroU32,
    /// Some of the proxies, to which new members announce themselves.
    pub seeds: Vec<Seed>,
    /// The limits, the same at every proxy.
    pub limits: Vec<Limit>,
    /// Duration of a lease.
    pub lease_duration: Duration,
    /// Maximum time that a request is in flight.
    pub max_request_duration: Duration,
    /// Seed of the random choice of members to probe, to borrow from and to send load reports to.
    pub rng_seed: u64,
}

impl NodeConfig {
    /// Returns the tag of everything that must be the same at all proxies of the fleet.
    pub(super) fn tag(&self) -> u32 {
        let NodeConfig { site, fleet_size, limits, lease_duration, max_request_duration, .. } = self;
        wire::tag(&format!("{site:?} {fleet_size} {lease_duration:?} {max_request_duration:?} {limits:?}"))
    }

    /// Returns the configuration of this proxy's quota of `limit`.
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
