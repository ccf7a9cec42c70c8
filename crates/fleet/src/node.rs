//! One proxy's node in the fleet: its membership, its quotas and its load gossip. The caller passes in the datagrams
//! and the time.

mod config;
mod lease_rounds;
mod load_exchange;
mod status;

use crate::load_gossip::{LoadReport, ReportAges, MAX_REPORTS_PER_DATAGRAM};
use crate::membership::{Membership, MembershipError};
use crate::quota::{Borrower, Quota, QuotaExceeded};
use crate::wire::{self, Message, WireError};
use lease_rounds::{LeaseRounds, OutgoingMessage};
use load_exchange::LoadExchange;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

pub use config::{Limit, NodeConfig};
pub use status::QuotaStatus;

/// Number of members to which a proxy sends load reports per round. After `k` rounds about `3^k` members have a report:
/// a thousand after seven rounds.
const GOSSIP_FANOUT: usize = 2;
/// Makes the node's random numbers differ from those of its membership, which has the same seed.
const NODE_RNG_SALT: u64 = 0x666c_6565_7421;

/// Error returned when a datagram is rejected.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// The datagram is not of this fleet, or its message cannot be decoded. Nothing changes.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The membership protocol rejects the packet; see [`Membership::receive`].
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The datagram requests a lease of an unknown limit, or for a proxy that is not another member. Nothing changes.
    #[error("lease request by proxy {from} for limit {limit}: no such proxy or limit")]
    UnknownLeaseRequest {
        /// Index of the proxy, according to the datagram.
        from: u32,
        /// Index of the limit among all limits.
        limit: u16,
    },
}

struct Datagram {
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// One proxy's node in the fleet.
pub struct Node {
    tag: u32,
    fleet_size: u32,
    membership: Membership,
    limit_names: Vec<String>,
    /// One quota per limit, in the order of the limits.
    quotas: Vec<Quota>,
    lease_rounds: LeaseRounds,
    load: LoadExchange,
    rng: SmallRng,
    outgoing: VecDeque<Datagram>,
}

impl Node {
    /// Creates the node of a process that starts at `now`.
    pub fn new(config: NodeConfig, now: Duration) -> Node {
        let tag = config.tag();
        let quotas = config.limits.iter().map(|limit| Quota::new(config.quota_config(limit), now)).collect();
        let limit_names = config.limits.into_iter().map(|limit| limit.name).collect();
        Node {
            tag,
            fleet_size: config.fleet_size.get(),
            membership: Membership::new(config.identity, config.fleet_size, config.seeds, config.rng_seed),
            limit_names,
            quotas,
            lease_rounds: LeaseRounds::new(config.lease_duration, now),
            load: LoadExchange::new(now),
            rng: SmallRng::seed_from_u64(config.rng_seed ^ NODE_RNG_SALT),
            outgoing: VecDeque::new(),
        }
    }

    /// Returns the membership, with the live members of the fleet.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    fn own_index(&self) -> u32 {
        self.membership.identity().proxy_index
    }

    /// Returns whether `proxy_index` is the index of another proxy of the fleet.
    fn is_other_member(&self, proxy_index: u32) -> bool {
        proxy_index != self.own_index() && proxy_index < self.fleet_size
    }

    /// Handles a datagram from another proxy.
    ///
    /// # Errors
    /// The datagram is rejected; [`ReceiveError`] lists the reasons.
    pub fn receive(&mut self, now: Duration, datagram: &[u8]) -> Result<(), ReceiveError> {
        match wire::decode(self.tag, datagram)? {
            Message::Swim(packet) => self.membership.receive(now, &packet)?,
            Message::LoadReports(reports) => self.merge_reports(now, &reports),
            Message::LeaseRequest { from, generation, reply_to, limit, nonce, requested } => {
                let is_member = self.is_other_member(from);
                let Some(quota) = self.quotas.get_mut(usize::from(limit)).filter(|_| is_member) else {
                    return Err(ReceiveError::UnknownLeaseRequest { from, limit });
                };
                let borrower = Borrower { proxy_index: from, generation };
                let granted = quota.grant_lease(now, borrower, nonce, requested);
                let from = self.own_index();
                self.send(reply_to, &Message::LeaseGrant { from, nonce, granted });
            }
            Message::LeaseGrant { from, nonce, granted } => {
                let limit = self.lease_rounds.complete(nonce);
                let quota = limit.and_then(|limit| self.quotas.get_mut(usize::from(limit)));
                if let Some(quota) = quota {
                    quota.handle_grant(now, from, nonce, granted);
                }
            }
        }
        Ok(())
    }

    fn merge_reports(&mut self, now: Duration, reports: &[LoadReport]) {
        for report in reports.iter().take(MAX_REPORTS_PER_DATAGRAM) {
            if self.is_other_member(report.proxy_index) {
                self.load.gossip.merge(now, *report);
            }
        }
    }

    /// Runs the timers, the gossip and the lease requests that are due. Call this at [`Node::next_tick_at`] or later.
    pub fn tick(&mut self, now: Duration) {
        self.membership.tick(now);
        self.gossip_load(now);
        let requests = self.lease_rounds.run_due(now, &self.membership, &mut self.quotas, &mut self.rng);
        for OutgoingMessage { to, message } in requests {
            self.send(to, &message);
        }
    }

    /// Sends load reports to randomly drawn members, if reports are due.
    fn gossip_load(&mut self, now: Duration) {
        let Some(own_report) = self.load.due_report(now, self.membership.identity()) else { return };
        let members = self.membership.live_members().values();
        let addresses: Vec<SocketAddr> = members.map(|member| member.address).collect();
        for _ in 0..GOSSIP_FANOUT.min(addresses.len()) {
            let to = addresses[self.rng.random_range(0..addresses.len())];
            let reports = self.load.gossip.reports_to_send(now, own_report);
            self.send(to, &Message::LoadReports(reports));
        }
    }

    /// Sets the number of attempts in flight, which this proxy reports to the others as its load.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        self.load.set_in_flight(in_flight);
    }

    /// Returns the total load of the other proxies. Proxies without a recent report count as the mean of those with
    /// one. Returns `None` if there is no recent report.
    pub fn others_in_flight(&self, now: Duration) -> Option<f64> {
        self.load.gossip.others_in_flight(now, self.own_index(), self.fleet_size)
    }

    /// Returns the ages of the other members' load reports.
    pub fn report_ages(&self, now: Duration) -> ReportAges {
        self.load.gossip.report_ages(now, self.own_index())
    }

    /// Returns when [`Node::tick`] is due.
    pub fn next_tick_at(&self) -> Duration {
        let own = self.lease_rounds.next_round_at().min(self.load.next_report_at());
        self.membership.next_tick_at().min(own)
    }

    fn send(&mut self, to: SocketAddr, message: &Message) {
        self.outgoing.push_back(Datagram { to, bytes: wire::encode(self.tag, message) });
    }

    /// Removes and returns the next datagram to send, with its destination.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        if let Some(datagram) = self.outgoing.pop_front() {
            return Some((datagram.to, datagram.bytes));
        }
        let (to, packet) = self.membership.next_datagram()?;
        Some((to, wire::encode(self.tag, &Message::Swim(packet.to_vec()))))
    }

    /// Admits a request under all of `limits`, given by their indexes, or under none of them.
    ///
    /// # Errors
    /// The quota of one of them is exceeded.
    pub fn admit(&mut self, now: Duration, limits: &[u16]) -> Result<(), QuotaExceeded> {
        for limit in limits {
            if let Some(quota) = self.quotas.get_mut(usize::from(*limit)) {
                quota.check_available(now)?;
            }
        }
        for limit in limits {
            if let Some(quota) = self.quotas.get_mut(usize::from(*limit)) {
                quota.admit();
            }
        }
        Ok(())
    }

    /// Releases a request that was admitted under `limits` and has ended.
    pub fn release(&mut self, limits: &[u16]) {
        for limit in limits {
            if let Some(quota) = self.quotas.get_mut(usize::from(*limit)) {
                quota.release();
            }
        }
    }

    /// Sets whether another process acts for this proxy as well; if so, each process uses half of the quotas.
    pub fn set_halved(&mut self, now: Duration, is_halved: bool) {
        for quota in &mut self.quotas {
            quota.set_halved(now, is_halved);
        }
    }

    /// Returns the status of each quota at `now`, in the order of the limits.
    pub fn quotas(&self, now: Duration) -> impl Iterator<Item = QuotaStatus> + '_ {
        let quotas = self.limit_names.iter().zip(&self.quotas);
        quotas.map(move |(limit, quota)| QuotaStatus::new(limit, quota, now))
    }
}
