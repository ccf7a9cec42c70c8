//! One proxy's part of a fleet-wide limit, without I/O (sans-IO).
//!
//! The method is escrow (O'Neil, TODS 11, 1986; the demarcation protocol of Barbará and Garcia-Molina, VLDB Journal
//! 3, 1994): each of `N` proxies owns an `N`th of the limit and admits requests under it without asking another
//! proxy. What it does not use it lends for a limited time (leases, Gray and Cheriton, SOSP 1989). The lender stops
//! using the amount before the borrower begins. The borrower counts the lease from its request and the lender from
//! its answer, so it ends at the borrower first. Therefore the amounts in use never add up to more than the limit,
//! whichever links fail, and a disconnected proxy falls back to the part that it owns and has not lent.
//!
//! A process that has just started does not know what the previous process lent, so it reserves everything that may be
//! lent until such leases have expired. Slots (concurrent requests) stay with a borrower until its requests end: the
//! lender counts them for the duration of the lease and of the longest request.

mod borrowed;
mod config;
mod demand;
mod granted;
mod token_bucket;

use crate::amount::Amount;
use borrowed::BorrowedLeases;
use demand::Demand;
use granted::GrantedLeases;
use std::time::Duration;
use token_bucket::TokenBucket;

pub use borrowed::LeaseRequest;
pub use config::QuotaConfig;
pub use granted::Borrower;

/// Minimum time after which a rejected request may be repeated, in seconds.
const MIN_RETRY_AFTER_S: f64 = 0.05;
/// Lower bound of a rate used as a divisor, in requests a second.
const MIN_RATE: f64 = 1e-9;

/// Error returned when a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaExceeded {
    /// Time from now after which the request may be repeated.
    pub retry_after: Duration,
}

/// The amounts of a quota at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAmounts {
    /// Amount that this proxy may use.
    pub usable: Amount,
    /// Amount of this proxy's own part that is lent to others.
    pub lent: Amount,
    /// Amount borrowed from others.
    pub borrowed: Amount,
}

/// Counts of requests by the decision of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCounts {
    /// Requests admitted and not yet released.
    pub in_flight: u32,
    /// Requests admitted since the start.
    pub admitted: u64,
    /// Requests rejected since the start.
    pub rejected: u64,
}

/// The quota of one proxy.
pub struct Quota {
    config: QuotaConfig,
    granted: GrantedLeases,
    borrowed: BorrowedLeases,
    bucket: TokenBucket,
    demand: Demand,
    /// Time up to which tokens have been added and expired leases removed: the latest time that a caller has passed.
    advanced_to: Duration,
    /// Time until which the quota reserves what the previous process may have lent.
    reserved_until: Duration,
    /// Whether another process acts for this proxy as well.
    is_halved: bool,
    in_flight: u32,
    admitted: u64,
    rejected: u64,
}

impl Quota {
    /// Creates the quota of a process that starts at `now`, without tokens because the previous process may have spent
    /// them.
    pub fn new(config: QuotaConfig, now: Duration) -> Quota {
        Quota {
            config,
            granted: GrantedLeases::default(),
            borrowed: BorrowedLeases::default(),
            bucket: TokenBucket::empty(config.burst),
            demand: Demand::new(now),
            advanced_to: now,
            reserved_until: now + config.granted_duration(),
            is_halved: false,
            in_flight: 0,
            admitted: 0,
            rejected: 0,
        }
    }

    /// Returns the amount of this proxy's own part that it may use or lend at `at`.
    fn own_available(&self, at: Duration) -> Amount {
        let part = self.config.own_part();
        let mut own = part;
        if at < self.reserved_until {
            let lendable = self.config.lendable();
            own.rate -= lendable.rate;
            own.slots -= lendable.slots;
        }
        if self.is_halved {
            own.rate = own.rate.min(part.rate / 2.0);
            own.slots = own.slots.min(part.slots / 2);
        }
        own
    }

    /// Returns the amount of this proxy's own part that it has not lent and may use itself at `at`.
    fn own_unlent(&self, at: Duration) -> Amount {
        let own = self.own_available(at);
        let lent = self.granted.total();
        Amount { rate: (own.rate - lent.rate).max(0.0), slots: own.slots.saturating_sub(lent.slots) }
    }

    /// Returns what this proxy may use at `at`, which must not be before `advanced_to`.
    fn usable(&self, at: Duration) -> Amount {
        self.own_unlent(at).plus(self.borrowed.total(at))
    }

    /// Adds the tokens up to `now`, in spans of constant rate, and removes expired leases.
    fn advance(&mut self, now: Duration) {
        while self.advanced_to < now {
            let until = self.next_rate_change(now);
            let rate = self.usable(self.advanced_to).rate;
            self.bucket.refill(rate, until - self.advanced_to);
            self.advanced_to = until;
        }
        // Granted leases that expired during the spans still reduced their rates: a lender counts a lease for longer
        // than the borrower uses it, and uses the amount again only afterwards.
        self.granted.remove_expired(self.advanced_to);
        self.borrowed.remove_expired(self.advanced_to);
        self.update_bucket_rate();
    }

    /// Returns the next moment at which the usable rate changes, `now` at the latest.
    fn next_rate_change(&self, now: Duration) -> Duration {
        let changes = self.borrowed.expirations().chain([self.reserved_until]);
        changes.filter(|at| *at > self.advanced_to).fold(now, Duration::min)
    }

    fn update_bucket_rate(&mut self) {
        let rate = self.usable(self.advanced_to).rate;
        self.bucket.set_rate(rate);
    }

    /// Checks whether a request may be admitted now, without taking a token or a slot. The request counts as demand in
    /// either case.
    ///
    /// # Errors
    /// The quota has no token or no slot left.
    pub fn check_available(&mut self, now: Duration) -> Result<(), QuotaExceeded> {
        self.advance(now);
        self.demand.record_request(now);
        let result = self.check_bucket_and_slots();
        self.rejected += u64::from(result.is_err());
        result
    }

    fn check_bucket_and_slots(&mut self) -> Result<(), QuotaExceeded> {
        let usable = self.usable(self.advanced_to);
        let missing_tokens = self.bucket.missing().filter(|_| self.config.rate.is_some());
        if let Some(missing) = missing_tokens {
            return Err(self.exceeded(missing / usable.rate.max(MIN_RATE)));
        }
        if self.config.slots.is_some() && self.in_flight >= usable.slots {
            self.demand.record_missing_slot();
            return Err(self.exceeded(self.config.lease_duration.as_secs_f64() / 2.0));
        }
        Ok(())
    }

    fn exceeded(&self, retry_after_s: f64) -> QuotaExceeded {
        let max = 2.0 * self.config.lease_duration.as_secs_f64();
        let seconds = retry_after_s.clamp(MIN_RETRY_AFTER_S, max.max(MIN_RETRY_AFTER_S));
        QuotaExceeded { retry_after: Duration::from_secs_f64(seconds) }
    }

    /// Admits a request that [`Quota::check_available`] has just accepted.
    pub fn admit(&mut self) {
        if self.config.rate.is_some() {
            self.bucket.take();
        }
        self.in_flight += 1;
        self.demand.record_in_flight(self.in_flight);
        self.admitted += 1;
    }

    /// Releases an admitted request that has ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Sets whether another process acts for this proxy as well; if so, each process uses half of the quota.
    pub fn set_halved(&mut self, now: Duration, is_halved: bool) {
        self.advance(now);
        self.is_halved = is_halved;
        self.update_bucket_rate();
    }

    /// Handles a borrower's request for a lease that replaces the one it has. The borrower has already stopped using
    /// everything beyond `requested`. Returns the granted amount.
    pub fn grant_lease(&mut self, now: Duration, borrower: Borrower, seq: u64, requested: Amount) -> Amount {
        self.advance(now);
        let requested = self.config.without_small_rate(requested);
        if !self.granted.accept_request(borrower, seq, requested) {
            return Amount::default();
        }
        let previous = self.granted.amount(borrower);
        let spare = self.spare(borrower);
        // The borrower keeps what it has and gets at most half of the rest, so that some is left for the next borrower.
        let retained = previous.min(spare);
        let granted = self.config.without_small_rate(Amount {
            rate: requested.rate.min(retained.rate + (spare.rate - retained.rate) / 2.0),
            slots: requested.slots.min(retained.slots + (spare.slots - retained.slots).div_ceil(2)),
        });
        if granted.is_zero() {
            // What the borrower still has of its previous lease counts until that lease expires.
            return granted;
        }
        let expires_at = self.advanced_to + self.config.granted_duration();
        // Until the answer arrives the borrower uses its previous lease, so the larger of the two amounts counts.
        self.granted.insert(borrower, seq, granted.max(previous), expires_at);
        self.update_bucket_rate();
        granted
    }

    /// Returns what this proxy can lend to `borrower`, including what that borrower already has.
    fn spare(&self, borrower: Borrower) -> Amount {
        if self.advanced_to < self.reserved_until || self.is_halved {
            return Amount::default();
        }
        let own = self.config.own_part();
        let lendable = self.config.lendable();
        let lent = self.granted.total_without(borrower);
        let needed_rate = self.demand.rate(self.advanced_to);
        let needed_slots = self.demand.slots(self.in_flight);
        let unused_rate = own.rate - lent.rate - needed_rate;
        let unused_slots = own.slots.saturating_sub(lent.slots + needed_slots);
        Amount {
            rate: (lendable.rate - lent.rate).min(unused_rate).max(0.0),
            slots: lendable.slots.saturating_sub(lent.slots).min(unused_slots),
        }
    }

    /// Returns the lease requests of one round; there are several rounds per lease duration. `pick_lender` draws one of
    /// the other live members, and `next_seq` returns the number of a new request.
    pub fn request_leases(
        &mut self, now: Duration, pick_lender: impl FnMut() -> Option<u32>, next_seq: impl FnMut() -> u64,
    ) -> Vec<LeaseRequest> {
        self.advance(now);
        let own = self.own_unlent(now);
        let needed = Amount {
            rate: (self.demand.rate(now) - own.rate).max(0.0),
            slots: self.demand.slots(self.in_flight).saturating_sub(own.slots),
        };
        let requests = self.borrowed.request(&self.config, now, needed, pick_lender, next_seq);
        self.demand.start_round(self.in_flight);
        requests
    }

    /// Handles a lender's answer to a request.
    pub fn handle_grant(&mut self, now: Duration, lender: u32, seq: u64, granted: Amount) {
        self.advance(now);
        self.borrowed.handle_grant(&self.config, self.advanced_to, lender, seq, granted);
    }

    /// Returns the amounts of the quota at `now`, which must not be before the latest time passed to another method.
    pub fn amounts(&self, now: Duration) -> QuotaAmounts {
        QuotaAmounts {
            usable: self.usable(now),
            lent: self.granted.total(),
            borrowed: self.borrowed.total(now),
        }
    }

    /// Returns the counts of requests decided on so far.
    pub fn counts(&self) -> QuotaCounts {
        QuotaCounts { in_flight: self.in_flight, admitted: self.admitted, rejected: self.rejected }
    }
}

#[cfg(test)]
mod tests;
