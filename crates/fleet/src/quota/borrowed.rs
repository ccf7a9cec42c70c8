//! The leases that other proxies have granted to this one, and its requests for them.

use super::config::QuotaConfig;
use crate::amount::Amount;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of lenders of a proxy at the same time. Each is asked twice per lease duration.
const MAX_LENDERS: usize = 64;
/// Number of randomly drawn members that are asked for a lease in one round (power of two choices).
const LENDERS_PER_ROUND: u32 = 2;

struct BorrowedLease {
    amount: Amount,
    expires_at: Duration,
}

struct PendingRequest {
    lender: u32,
    sent_at: Duration,
    requested: Amount,
}

/// A request for a lease, to be sent to a lender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseRequest {
    /// Index of the lender.
    pub lender: u32,
    /// Number of the request; the answer repeats it.
    pub seq: u64,
    /// Requested part of the limit; replaces what this lender granted before.
    pub requested: Amount,
}

/// The borrowed leases, one per lender, and the requests that await an answer.
#[derive(Default)]
pub(super) struct BorrowedLeases {
    by_lender: BTreeMap<u32, BorrowedLease>,
    pending: BTreeMap<u64, PendingRequest>,
}

impl BorrowedLeases {
    /// Returns the sum of the leases that have not expired at `at`.
    pub(super) fn total(&self, at: Duration) -> Amount {
        let live = self.by_lender.values().filter(|lease| at < lease.expires_at);
        live.fold(Amount::default(), |sum, lease| sum.plus(lease.amount))
    }

    /// Returns the expiration time of each lease.
    pub(super) fn expirations(&self) -> impl Iterator<Item = Duration> + '_ {
        self.by_lender.values().map(|lease| lease.expires_at)
    }

    /// Removes expired leases.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.by_lender.retain(|_, lease| now < lease.expires_at);
    }

    /// Returns the requests of one round. `needed` is the demand beyond this proxy's own part, `pick_lender` draws
    /// one of the other live members, and `next_seq` returns the number of a new request.
    pub(super) fn request(
        &mut self, config: &QuotaConfig, now: Duration, needed: Amount,
        mut pick_lender: impl FnMut() -> Option<u32>, mut next_seq: impl FnMut() -> u64,
    ) -> Vec<LeaseRequest> {
        self.pending.retain(|_, pending| now < pending.sent_at + config.lease_duration);
        let mut still_needed = needed;
        let mut requests = self.renewals(config, now, &mut still_needed, &mut next_seq);
        self.add_new_lenders(config, still_needed, &mut requests, &mut pick_lender, &mut next_seq);
        for request in &requests {
            // A late answer to an older request would restore the amount that this request gives back.
            self.pending.retain(|_, pending| pending.lender != request.lender);
            let pending =
                PendingRequest { lender: request.lender, sent_at: now, requested: request.requested };
            self.pending.insert(request.seq, pending);
        }
        requests
    }

    /// Returns requests that renew the leases still needed and give back the others. Subtracts the retained amounts
    /// from `needed`.
    fn renewals(
        &mut self, config: &QuotaConfig, now: Duration, needed: &mut Amount,
        next_seq: &mut impl FnMut() -> u64,
    ) -> Vec<LeaseRequest> {
        let shortage = per_lender_shortage(*needed, self.total(now));
        let mut requests = Vec::new();
        for (&lender, lease) in &mut self.by_lender {
            let retained = config.without_small_rate(lease.amount.min(*needed));
            needed.rate -= retained.rate;
            needed.slots -= retained.slots;
            let was_requested_recently = |pending: &PendingRequest| {
                pending.lender == lender && now < pending.sent_at + config.lease_duration / 4
            };
            if self.pending.values().any(was_requested_recently) {
                continue;
            }
            let is_renewal_due = lease.expires_at.saturating_sub(now) < config.lease_duration / 2;
            // Unneeded slots are given back at once: after the lease expires, the lender would still count them for the
            // duration of the longest request.
            if is_renewal_due || retained.slots < lease.amount.slots {
                lease.amount = retained;
                requests.push(LeaseRequest { lender, seq: next_seq(), requested: retained.plus(shortage) });
            }
        }
        requests
    }

    /// Adds requests to members that are not lenders yet.
    fn add_new_lenders(
        &self, config: &QuotaConfig, needed: Amount, requests: &mut Vec<LeaseRequest>,
        pick_lender: &mut impl FnMut() -> Option<u32>, next_seq: &mut impl FnMut() -> u64,
    ) {
        let requested = config.without_small_rate(Amount {
            rate: needed.rate / f64::from(LENDERS_PER_ROUND),
            slots: needed.slots.div_ceil(LENDERS_PER_ROUND),
        });
        for _ in 0..LENDERS_PER_ROUND {
            let has_max_lenders = self.by_lender.len() + requests.len() >= MAX_LENDERS;
            let Some(lender) = pick_lender().filter(|_| !has_max_lenders && !requested.is_zero()) else {
                break;
            };
            let is_lender = self.by_lender.contains_key(&lender)
                || self.pending.values().any(|pending| pending.lender == lender)
                || requests.iter().any(|request| request.lender == lender);
            if !is_lender {
                requests.push(LeaseRequest { lender, seq: next_seq(), requested });
            }
        }
    }

    /// Handles a lender's answer; an answer without a pending request is ignored. The lease counts from its request.
    /// Its amount is limited to what was requested and to what any proxy may lend, whatever the lender grants.
    pub(super) fn handle_grant(
        &mut self, config: &QuotaConfig, now: Duration, lender: u32, seq: u64, granted: Amount,
    ) {
        let Some(pending) = self.pending.get(&seq).filter(|pending| pending.lender == lender) else {
            return;
        };
        let expires_at = pending.sent_at + config.lease_duration;
        let amount = granted.min(pending.requested).min(config.max_lease());
        self.pending.remove(&seq);
        let is_valid = granted.rate.is_finite() && granted.rate >= 0.0;
        if is_valid && now < expires_at && !amount.is_zero() {
            self.by_lender.insert(lender, BorrowedLease { amount, expires_at });
        }
    }
}

/// Returns the amount that is needed beyond what is borrowed, divided by the number of members asked in one round.
fn per_lender_shortage(needed: Amount, borrowed: Amount) -> Amount {
    let rate = needed.rate - borrowed.rate;
    let slots = needed.slots.saturating_sub(borrowed.slots);
    Amount { rate: (rate / f64::from(LENDERS_PER_ROUND)).max(0.0), slots: slots.div_ceil(LENDERS_PER_ROUND) }
}
