//! How a limit is divided among the proxies of a fleet.

use crate::amount::Amount;
use std::time::Duration;

/// Maximum fraction of its own part that a proxy lends. It can always serve requests with the rest.
const LENDABLE_FRACTION: f64 = 0.75;
/// Factor by which a lender's clock may run faster than a borrower's. A quartz clock is off by about 100 ppm and a
/// slewed clock by up to 500 ppm (adjtimex); one percent is far more than both.
const CLOCK_DRIFT_FACTOR: f64 = 1.01;
/// Minimum rate of a lease, as a fraction of a proxy's own rate. Bounds the number of leases.
const MIN_LEASE_FRACTION: f64 = 1.0 / 64.0;

/// A fleet-wide limit and how it is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Requests a second, over all proxies.
    pub rate: Option<f64>,
    /// Concurrent requests, over all proxies.
    pub slots: Option<u32>,
    /// Maximum that an unused quota accumulates, as a duration at its rate; at least one request.
    pub burst: Duration,
    /// Duration of a lease.
    pub lease_duration: Duration,
    /// Maximum time that a request is in flight.
    pub max_request_duration: Duration,
    /// Number of proxies in the fleet.
    pub fleet_size: u32,
    /// Index of this proxy in the fleet.
    pub proxy_index: u32,
}

impl QuotaConfig {
    /// Returns this proxy's own part of the limit. If the slots cannot be divided evenly, the first proxies have one
    /// more.
    pub(super) fn own_part(&self) -> Amount {
        let size = self.fleet_size.max(1);
        let rate = self.rate.unwrap_or(0.0) / f64::from(size);
        let slots = self.slots.unwrap_or(0);
        Amount { rate, slots: slots / size + u32::from(self.proxy_index < slots % size) }
    }

    /// Returns the maximum that this proxy lends. It keeps at least one slot, if it has any, so that a process that
    /// has just started can serve requests.
    pub(super) fn lendable(&self) -> Amount {
        let own = self.own_part();
        Amount {
            rate: own.rate * LENDABLE_FRACTION,
            slots: (f64::from(own.slots) * LENDABLE_FRACTION) as u32,
        }
    }

    /// Returns the maximum that any proxy lends. The own part of the first proxy is the largest.
    pub(super) fn max_lease(&self) -> Amount {
        QuotaConfig { proxy_index: 0, ..*self }.lendable()
    }

    /// Returns `amount` without its rate if that is too small for a lease. Lender and borrower apply the same rule,
    /// so that the lender counts what the borrower uses.
    pub(super) fn without_small_rate(&self, amount: Amount) -> Amount {
        let is_enough = amount.rate > 0.0 && amount.rate >= self.own_part().rate * MIN_LEASE_FRACTION;
        Amount { rate: if is_enough { amount.rate } else { 0.0 }, slots: amount.slots }
    }

    /// Returns how long a lender counts a lease as granted. Requests that the borrower admitted within the lease keep
    /// their slots until they end.
    pub(super) fn granted_duration(&self) -> Duration {
        let request_duration = if self.slots.is_some() { self.max_request_duration } else { Duration::ZERO };
        (self.lease_duration + request_duration).mul_f64(CLOCK_DRIFT_FACTOR)
    }
}
