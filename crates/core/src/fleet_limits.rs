//! The interface between the core and the limits that the whole fleet shares.

use lotusdeck_fleet::QuotaStatus;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{ClassId, Micros, TenantId};
use serde::Serialize;
use std::rc::Rc;

/// The indices of the limits under which a request was admitted; passed to [`FleetLimiter::release`] when the request
/// ends.
pub type Admission = Rc<[u16]>;

/// Checks requests against the fleet's limits before the balancer receives them. No method blocks.
pub trait FleetLimiter {
    /// Admits a request under every limit that applies to it.
    ///
    /// # Errors
    /// If a limit is reached, returns the time after which the client may retry.
    fn admit(&self, class: ClassId, tenant: Option<TenantId>, names: &Names) -> Result<Admission, Micros>;
    /// Releases the admission of a request that has ended.
    fn release(&self, admission: &Admission);
    /// Sets whether a second process serves for this proxy, as during an upgrade.
    fn set_other_process(&self, is_running: bool);
    /// Returns the current state, for operators.
    fn status(&self) -> FleetLimitStatus;
}

/// The current state of the fleet's limits, as seen by this proxy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetLimitStatus {
    /// Number of other proxies that are considered alive.
    pub members: usize,
    /// Number of times that the membership has changed.
    #[serde(rename = "view")]
    pub membership_generation: u64,
    /// Attempts in flight at all other proxies together, as far as they have reported.
    #[serde(rename = "others_hold")]
    pub others_in_flight: Option<f64>,
    /// Number of datagrams that could not be decoded.
    #[serde(rename = "unread")]
    pub undecodable_datagrams: u64,
    /// The state of each limit.
    #[serde(rename = "shares")]
    pub quotas: Vec<QuotaStatus>,
}
