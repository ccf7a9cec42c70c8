//! The leases that this proxy has granted to others.

use crate::amount::Amount;
use std::collections::BTreeMap;
use std::time::Duration;

/// One process of another proxy. A restarted one is another borrower: it does not know what the one before borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Borrower {
    /// The proxy's place in the fleet.
    pub proxy_index: u32,
    /// The generation of its process.
    pub generation: u64,
}

struct GrantedLease {
    /// The borrower's last request: older ones that arrive late change nothing.
    last_seq: u64,
    amount: Amount,
    expires_at: Duration,
}

/// The leases granted to all borrowers, one each.
#[derive(Default)]
pub(super) struct GrantedLeases {
    leases: BTreeMap<Borrower, GrantedLease>,
}

impl GrantedLeases {
    /// Everything granted. Leases that have run out count until they are removed.
    pub(super) fn total(&self) -> Amount {
        self.leases.values().fold(Amount::default(), |sum, lease| sum.plus(lease.amount))
    }

    /// Everything granted to others than this borrower.
    pub(super) fn total_without(&self, borrower: Borrower) -> Amount {
        let others = self.leases.iter().filter(|(key, _)| **key != borrower);
        others.fold(Amount::default(), |sum, (_, lease)| sum.plus(lease.amount))
    }

    /// What this borrower was granted.
    pub(super) fn amount(&self, borrower: Borrower) -> Amount {
        self.leases.get(&borrower).map_or(Amount::default(), |lease| lease.amount)
    }

    /// Notes a borrower's request, by which it returns everything beyond `requested`. Returns whether the request is newer
    /// than its last one.
    pub(super) fn accept_request(&mut self, borrower: Borrower, seq: u64, requested: Amount) -> bool {
        if let Some(lease) = self.leases.get_mut(&borrower) {
            if seq <= lease.last_seq {
                return false;
            }
            lease.last_seq = seq;
            lease.amount = lease.amount.min(requested);
        }
        // A borrower that has returned everything is forgotten: requests under ever new names must not fill the memory.
        self.leases.retain(|_, lease| !lease.amount.is_zero());
        true
    }

    /// Grants a lease in place of the borrower's last one.
    pub(super) fn insert(&mut self, borrower: Borrower, seq: u64, amount: Amount, expires_at: Duration) {
        self.leases.insert(borrower, GrantedLease { last_seq: seq, amount, expires_at });
    }

    /// Removes the leases that have run out.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.leases.retain(|_, lease| now < lease.expires_at);
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.leases.len()
    }
}
