//! The status of a quota.

use crate::quota::Quota;
use serde::Serialize;
use std::time::Duration;

/// The status of a quota as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct QuotaStatus {
    /// Name of the limit.
    pub limit: String,
    /// Requests a second that this proxy may currently admit.
    pub rate: f64,
    /// Concurrent requests that this proxy may currently admit.
    pub slots: u32,
    /// Requests a second of its own part, lent to others.
    pub lent_rate: f64,
    /// Concurrent requests of its own part, lent to others.
    pub lent_slots: u32,
    /// Requests a second borrowed from others.
    pub borrowed_rate: f64,
    /// Concurrent requests borrowed from others.
    pub borrowed_slots: u32,
    /// Requests in flight.
    #[serde(rename = "open")]
    pub in_flight: u32,
    /// Requests admitted since the start.
    pub admitted: u64,
    /// Requests rejected since the start.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl QuotaStatus {
    pub(super) fn new(limit: &str, quota: &Quota, now: Duration) -> QuotaStatus {
        let amounts = quota.amounts(now);
        let counts = quota.counts();
        QuotaStatus {
            limit: limit.into(),
            rate: amounts.usable.rate,
            slots: amounts.usable.slots,
            lent_rate: amounts.lent.rate,
            lent_slots: amounts.lent.slots,
            borrowed_rate: amounts.borrowed.rate,
            borrowed_slots: amounts.borrowed.slots,
            in_flight: counts.in_flight,
            admitted: counts.admitted,
            rejected: counts.rejected,
        }
    }
}
