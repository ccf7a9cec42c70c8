//! The interface between the core and limits that the whole fleet shares.

use lotusdeck_fleet::QuotaStatus;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{ClassId, Micros, TenantId};
use serde::Serialize;
use std::rc::Rc;

/// The limits under which a request was admitted, by their indices; handed back when the request is over.
pub type Admission = Rc<[u16]>;

/// Limits requests before the balancer sees them. No call blocks.
pub trait FleetLimiter {
    /// Admits a request under every limit that applies to it.
    ///
    /// # Errors
    /// A limit is reached: after this time the client may retry.
    fn admit(&self, class: ClassId, tenant: Option<TenantId>, names: &Names) -> Result<Admission, Micros>;
    /// An admitted request is over.
    fn release(&self, admission: &Admission);
    /// Whether a second process serves for this proxy, as during an upgrade.
    fn set_other_process(&self, is_running: bool);
    /// The present state, for operators.
    fn status(&self) -> FleetLimitStatus;
}

/// The fleet's limits at this moment, as this proxy sees them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetLimitStatus {
    /// Other proxies that are considered alive.
    pub members: usize,
    /// How often the membership has changed.
    #[serde(rename = "view")]
    pub membership_generation: u64,
    /// Attempts in flight at the other proxies together, as far as they have reported.
    #[serde(rename = "others_hold")]
    pub others_in_flight: Option<f64>,
    /// Datagrams that could not be decoded.
    #[serde(rename = "unread")]
    pub undecodable_datagrams: u64,
    /// One for each limit.
    #[serde(rename = "shares")]
    pub quotas: Vec<QuotaStatus>,
}
