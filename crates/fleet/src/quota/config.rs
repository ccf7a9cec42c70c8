//! How a limit is divided among the proxies of a fleet.

use crate::amount::Amount;
use std::time::Duration;

/// The fraction of its own part that a proxy lends at most: with the rest it can always serve by itself.
const LENDABLE_FRACTION: f64 = 0.75;
/// By this factor a lender's clock may run faster than a borrower's: quartz is off by some 100 ppm, a slewed clock by up
/// to 500 ppm (adjtimex); one percent is far more than both.
const CLOCK_DRIFT_FACTOR: f64 = 1.01;
/// The smallest rate that is lent, as a fraction of a proxy's own: bounds the number of leases.
const MIN_LEASE_FRACTION: f64 = 1.0 / 64.0;

/// A limit of the whole fleet and how it is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Requests a second, over all proxies.
    pub rate: Option<f64>,
    /// Concurrent requests, over all proxies.
    pub slots: Option<u32>,
    /// What an unused quota accumulates at most, as a span of its rate; one request at least.
    pub burst: Duration,
    /// How long a lease lasts.
    pub lease_duration: Duration,
    /// No request is in flight for longer.
    pub max_request_duration: Duration,
    /// Proxies of the fleet.
    pub fleet_size: u32,
    /// This proxy's place among them.
    pub proxy_index: u32,
}

impl QuotaConfig {
    /// This proxy's own part of the limit. Where slots cannot be divided evenly the first proxies have one more.
    pub(super) fn own_part(&self) -> Amount {
        let size = self.fleet_size.max(1);
        let rate = self.rate.unwrap_or(0.0) / f64::from(size);
        let slots = self.slots.unwrap_or(0);
        Amount { rate, slots: slots / size + u32::from(self.proxy_index < slots % size) }
    }

    /// What this proxy lends at most. One slot at least stays, so that a process that has just started can serve.
    pub(super) fn lendable(&self) -> Amount {
        let own = self.own_part();
        Amount {
            rate: own.rate * LENDABLE_FRACTION,
            slots: (f64::from(own.slots) * LENDABLE_FRACTION) as u32,
        }
    }

    /// What any proxy lends at most: the first one's own part is the largest.
    pub(super) fn max_lease(&self) -> Amount {
        QuotaConfig { proxy_index: 0, ..*self }.lendable()
    }

    /// The amount without a rate that is too small for a lease. Lender and borrower apply the same rule, so that the
    /// lender counts what the borrower uses.
    pub(super) fn without_small_rate(&self, amount: Amount) -> Amount {
        let is_enough = amount.rate > 0.0 && amount.rate >= self.own_part().rate * MIN_LEASE_FRACTION;
        Amount { rate: if is_enough { amount.rate } else { 0.0 }, slots: amount.slots }
    }

    /// How long the lender counts a lease as granted: requests that the borrower admitted within the lease keep their
    /// slots until they end.
    pub(super) fn granted_duration(&self) -> Duration {
        let longest = if self.slots.is_some() { self.max_request_duration } else { Duration::ZERO };
        (self.lease_duration + longest).mul_f64(CLOCK_DRIFT_FACTOR)
    }
}
