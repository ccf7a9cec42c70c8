//! What a core asks of limits that hold for more than this process.

use lotusdeck_fleet::QuotaStatus;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{ClassId, Micros, TenantId};
use serde::Serialize;
use std::rc::Rc;

/// The limits under which a request was taken in, by their places; handed back when it is over.
pub type Admission = Rc<[u16]>;

/// Asked before a request comes to the module. No call waits for anything.
pub trait FleetLimiter {
    /// Takes a request in under every limit that it is of.
    ///
    /// # Errors
    /// One of them is reached: when the client had better come again.
    fn admit(&self, class: ClassId, tenant: Option<TenantId>, names: &Names) -> Result<Admission, Micros>;
    /// A request that was taken in is over.
    fn release(&self, pass: &Admission);
    /// Another process acts for this proxy beside this one, or does no more.
    fn set_other_process(&self, with_another: bool);
    /// For operators.
    fn status(&self) -> FleetLimitStatus;
}

/// The fleet's limits at this moment, as this proxy sees them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetLimitStatus {
    /// Other proxies that are taken for alive.
    pub members: usize,
    /// How often that has changed.
    #[serde(rename = "view")]
    pub membership_generation: u64,
    /// Attempts that the others together have out, as far as they told.
    #[serde(rename = "others_hold")]
    pub others_in_flight: Option<f64>,
    /// Datagrams that were not understood.
    #[serde(rename = "unread")]
    pub undecodable_datagrams: u64,
    /// One for each limit.
    #[serde(rename = "shares")]
    pub quotas: Vec<QuotaStatus>,
}
