//! Periodic rounds in which a proxy requests leases of all limits.

use crate::membership::Membership;
use crate::quota::Quota;
use crate::wire::Message;
use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Rounds per lease duration. New demand leads to requests within one round, and a lease is due for renewal in the
/// last five rounds before it expires.
const ROUNDS_PER_LEASE: u32 = 10;
/// Number of low bits of a request's number that are random, so that a third party cannot guess it. The higher bits
/// are a counter.
const RANDOM_BITS: u32 = 24;

struct PendingRequest {
    limit: u16,
    expires_at: Duration,
}

/// A message to another proxy.
pub(super) struct OutgoingMessage {
    pub(super) to: SocketAddr,
    pub(super) message: Message,
}

/// The time of the next round and the requests that await an answer.
pub(super) struct LeaseRounds {
    lease_duration: Duration,
    interval: Duration,
    next_round_at: Duration,
    request_count: u64,
    /// Requests that await an answer, by their numbers.
    pending: BTreeMap<u64, PendingRequest>,
}

impl LeaseRounds {
    /// Creates a schedule whose first round is due at `now`.
    pub(super) fn new(lease_duration: Duration, now: Duration) -> LeaseRounds {
        LeaseRounds {
            lease_duration,
            interval: lease_duration / ROUNDS_PER_LEASE,
            next_round_at: now,
            request_count: 0,
            pending: BTreeMap::new(),
        }
    }

    /// Returns when the next round is due.
    pub(super) fn next_round_at(&self) -> Duration {
        self.next_round_at
    }

    /// Runs a round if one is due. Returns the requests to send.
    pub(super) fn run_due(
        &mut self, now: Duration, membership: &Membership, quotas: &mut [Quota], rng: &mut SmallRng,
    ) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        if now < self.next_round_at {
            return outgoing;
        }
        self.next_round_at = now + self.interval;
        self.pending.retain(|_, pending| now < pending.expires_at);
        let members: Vec<u32> = membership.live_members().keys().copied().collect();
        for (limit, quota) in (0u16..).zip(quotas) {
            let mut seq_rng = SmallRng::seed_from_u64(rng.next_u64());
            let pick_lender = || (!members.is_empty()).then(|| members[rng.random_range(0..members.len())]);
            let next_seq = || {
                self.request_count += 1;
                self.request_count << RANDOM_BITS | seq_rng.next_u64() >> (u64::BITS - RANDOM_BITS)
            };
            for request in quota.request_leases(now, pick_lender, next_seq) {
                let Some(lender) = membership.live_members().get(&request.lender) else { continue };
                let expires_at = now + self.lease_duration;
                self.pending.insert(request.seq, PendingRequest { limit, expires_at });
                let own = membership.identity();
                let message = Message::LeaseRequest {
                    from: own.proxy_index,
                    generation: own.generation,
                    reply_to: own.address,
                    limit,
                    nonce: request.seq,
                    requested: request.requested,
                };
                outgoing.push(OutgoingMessage { to: lender.address, message });
            }
        }
        outgoing
    }

    /// Removes an answered request from those that await an answer. Returns its limit, or `None` if it is not one of
    /// them.
    pub(super) fn complete(&mut self, seq: u64) -> Option<u16> {
        self.pending.remove(&seq).map(|pending| pending.limit)
    }
}
