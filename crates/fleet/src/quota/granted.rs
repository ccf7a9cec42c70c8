//! The leases that this proxy has granted to others.

use crate::amount::Amount;
use std::collections::BTreeMap;
use std::time::Duration;

/// One process of another proxy. A restarted process is a different borrower, because it does not know what the
/// previous one borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Borrower {
    /// Index of the proxy in the fleet.
    pub proxy_index: u32,
    /// Generation of the process.
    pub generation: u64,
}

struct GrantedLease {
    /// Number of the borrower's last request. Older requests that arrive late are ignored.
    last_seq: u64,
    amount: Amount,
    expires_at: Duration,
}

/// The granted leases, one per borrower.
#[derive(Default)]
pub(super) struct GrantedLeases {
    leases: BTreeMap<Borrower, GrantedLease>,
}

impl GrantedLeases {
    /// Returns the sum of all leases. Expired leases count until they are removed.
    pub(super) fn total(&self) -> Amount {
        self.leases.values().fold(Amount::default(), |sum, lease| sum.plus(lease.amount))
    }

    /// Returns the sum of the leases of all other borrowers.
    pub(super) fn total_without(&self, borrower: Borrower) -> Amount {
        let others = self.leases.iter().filter(|(key, _)| **key != borrower);
        others.fold(Amount::default(), |sum, (_, lease)| sum.plus(lease.amount))
    }

    /// Returns the amount granted to `borrower`.
    pub(super) fn amount(&self, borrower: Borrower) -> Amount {
        self.leases.get(&borrower).map_or(Amount::default(), |lease| lease.amount)
    }

    /// Records a borrower's request, which gives back everything beyond `requested`. Returns whether the request is
    /// newer than the borrower's last one; if not, nothing changes.
    pub(super) fn accept_request(&mut self, borrower: Borrower, seq: u64, requested: Amount) -> bool {
        if let Some(lease) = self.leases.get_mut(&borrower) {
            if seq <= lease.last_seq {
                return false;
            }
            lease.last_seq = seq;
            lease.amount = lease.amount.min(requested);
        }
        // Borrowers that have given back everything are removed, so that a sender that uses a new generation in each
        // request cannot fill the memory.
        self.leases.retain(|_, lease| !lease.amount.is_zero());
        true
    }

    /// Stores a lease, which replaces the borrower's previous one.
    pub(super) fn insert(&mut self, borrower: Borrower, seq: u64, amount: Amount, expires_at: Duration) {
        self.leases.insert(borrower, GrantedLease { last_seq: seq, amount, expires_at });
    }

    /// Removes expired leases.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.leases.retain(|_, lease| now < lease.expires_at);
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.leases.len()
    }
}
