//! One proxy's part in the fleet: its membership and its shares, behind datagrams and a clock that are handed in.

use crate::load_gossip::{LoadGossip, LoadReport, ReportAges, MAX_REPORTS_PER_DATAGRAM};
use crate::membership::{Identity, Membership, MembershipError, Seed};
use crate::quota::{Quota, QuotaAmounts, QuotaConfig, QuotaCounts, QuotaExceeded};
use crate::wire::{self, Message, WireError};
use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;
use thiserror::Error;

/// Rounds of shares in a term: a need is asked for within one, and kept up with five tries before it runs out.
const ROUNDS: u32 = 10;

/// How often a proxy tells what it holds, and how many it tells: after `k` rounds some `3^k` know, so that a thousand
/// are told in seven.
const TELL_EVERY: Duration = Duration::from_millis(100);
const TELL: usize = 2;

/// A limit that holds for the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// What it is called in the log and the status.
    pub name: String,
    /// Requests a second.
    pub rate: Option<f64>,
    /// Requests at once.
    pub slots: Option<u32>,
    /// What each share may gather while it is not used, as a span of its rate.
    pub burst: Duration,
}

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Whose fleet; another site's datagrams are not read.
    pub site: String,
    /// This proxy.
    pub identity: Identity,
    /// Proxies of the fleet.
    pub fleet_size: NonZeroU32,
    /// Positions and addresses of some of them.
    pub seeds: Vec<Seed>,
    /// The limits, the same at every proxy.
    pub limits: Vec<Limit>,
    /// How long a share is lent.
    pub lease_duration: Duration,
    /// No request is open for longer.
    pub max_request_duration: Duration,
    /// Of the random choice of whom to probe and to ask.
    pub rng_seed: u64,
}

/// Why a datagram is not taken; nothing changed.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// It is no datagram of this fleet.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The membership protocol does not accept it.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// A lease is requested of a limit that there is not, or by a proxy that there is not.
    #[error("lease request by proxy {from} for limit {limit}: no such proxy or limit")]
    UnknownLeaseRequest {
        /// The proxy that requests it, as the datagram says.
        from: u32,
        /// The limit, by its place.
        limit: u16,
    },
}

/// A share, to be shown.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct QuotaStatus {
    /// The limit's name.
    pub limit: String,
    /// Requests a second that this proxy may admit now.
    pub rate: f64,
    /// ... and at once.
    pub slots: u32,
    /// Of its own, lent to others.
    pub lent_rate: f64,
    /// The same of slots.
    pub lent_slots: u32,
    /// Of others', borrowed.
    pub borrowed_rate: f64,
    /// The same of slots.
    pub borrowed_slots: u32,
    /// Requests taken in and not over.
    #[serde(rename = "open")]
    pub in_flight: u32,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

/// One proxy's part in the fleet.
pub struct Node {
    tag: u32,
    membership: Membership,
    names: Vec<String>,
    quotas: Vec<Quota>,
    dice: SmallRng,
    round_at: Duration,
    every: Duration,
    seq: u64,
    /// What was asked of whom: the limit, by the question's number. A number holds random bits.
    open: BTreeMap<u64, (u16, Duration)>,
    term: Duration,
    size: u32,
    begun: Duration,
    gauges: LoadGossip,
    /// What this proxy holds; `None` where it does not say.
    held: Option<u32>,
    tell_at: Duration,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
}

impl Node {
    /// A node of a process that starts at `now`.
    pub fn new(config: NodeConfig, now: Duration) -> Node {
        let NodeConfig {
            site,
            identity: own,
            fleet_size: size,
            seeds,
            limits,
            lease_duration: term,
            max_request_duration: longest,
            rng_seed: seed,
        } = config;
        let terms = |limit: &Limit| QuotaConfig {
            rate: limit.rate,
            slots: limit.slots,
            burst: limit.burst,
            lease_duration: term,
            max_request_duration: longest,
            fleet_size: size.get(),
            proxy_index: own.proxy_index,
        };
        let shares = limits.iter().map(|limit| Quota::new(terms(limit), now)).collect();
        let tag = wire::tag(&format!("{site:?} {size} {term:?} {longest:?} {limits:?}"));
        Node {
            tag,
            names: limits.into_iter().map(|limit| limit.name).collect(),
            quotas: shares,
            dice: SmallRng::seed_from_u64(seed ^ 0x666c_6565_7421),
            membership: Membership::new(own, size, seeds, seed),
            round_at: now,
            every: term / ROUNDS,
            seq: 0,
            open: BTreeMap::new(),
            term,
            size: size.get(),
            begun: now,
            gauges: LoadGossip::default(),
            held: None,
            tell_at: now,
            out: VecDeque::new(),
        }
    }

    /// Who is there.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Bytes that another sent.
    ///
    /// # Errors
    /// They are no message of this fleet; nothing changed.
    pub fn receive(&mut self, now: Duration, bytes: &[u8]) -> Result<(), ReceiveError> {
        let message = wire::decode(self.tag, bytes)?;
        match message {
            Message::Swim(data) => self.membership.receive(now, &data)?,
            Message::LoadReports(told) => {
                let (own, size) = (self.membership.identity().proxy_index, self.size);
                let sound = |t: &&LoadReport| t.proxy_index < size && t.proxy_index != own;
                for t in told.iter().take(MAX_REPORTS_PER_DATAGRAM).filter(sound) {
                    self.gauges.merge(now, *t);
                }
            }
            Message::LeaseRequest { from, generation, reply_to, limit, nonce, wanted } => {
                let own = self.membership.identity().proxy_index;
                let member = from != own && from < self.size;
                let Some(share) = self.quotas.get_mut(usize::from(limit)).filter(|_| member) else {
                    return Err(ReceiveError::UnknownLeaseRequest { from, limit });
                };
                let granted = share.grant_lease(now, (from, generation), nonce, wanted);
                self.say(reply_to, &Message::LeaseGrant { from: own, nonce, granted });
            }
            Message::LeaseGrant { from, nonce, granted } => {
                if let Some((limit, _)) = self.open.remove(&nonce) {
                    if let Some(share) = self.quotas.get_mut(usize::from(limit)) {
                        share.lease_granted(now, from, nonce, granted);
                    }
                }
            }
        }
        Ok(())
    }

    /// Does what is due; to be called at [`Node::next`] or later.
    pub fn tick(&mut self, now: Duration) {
        self.membership.tick(now);
        self.tell(now);
        if now < self.round_at {
            return;
        }
        self.round_at = now + self.every;
        self.open.retain(|_, (_, until)| now < *until);
        let mut said = Vec::new();
        let Node { membership, quotas: shares, dice, seq, open, term, .. } = self;
        let (own, live) = (membership.identity(), membership.live_members());
        let positions: Vec<u32> = live.keys().copied().collect();
        for (limit, share) in (0u16..).zip(shares.iter_mut()) {
            let mut numbers = SmallRng::seed_from_u64(dice.next_u64());
            let pick = || (!positions.is_empty()).then(|| positions[dice.random_range(0..positions.len())]);
            // Rising, with 24 random bits below, so that a stranger cannot guess one.
            let number = || {
                *seq += 1;
                *seq << 24 | numbers.next_u64() >> 40
            };
            for q in share.request_leases(now, pick, number) {
                let Some(lender) = live.get(&q.lender) else { continue };
                open.insert(q.seq, (limit, now + *term));
                let (from, generation, reply_to) = (own.proxy_index, own.generation, own.address);
                let ask = Message::LeaseRequest {
                    from,
                    generation,
                    reply_to,
                    limit,
                    nonce: q.seq,
                    wanted: q.wanted,
                };
                said.push((lender.address, ask));
            }
        }
        said.into_iter().for_each(|(to, ask)| self.say(to, &ask));
    }

    /// Tells two others what members hold.
    fn tell(&mut self, now: Duration) {
        if now < self.tell_at {
            return;
        }
        self.tell_at = now + TELL_EVERY;
        let (Some(value), own) = (self.held, self.membership.identity()) else { return };
        let since = u64::try_from(now.saturating_sub(self.begun).as_micros()).unwrap_or(u64::MAX);
        let own = LoadReport {
            proxy_index: own.proxy_index,
            reported_at: own.generation.saturating_add(since),
            in_flight: value,
        };
        let live: Vec<SocketAddr> = self.membership.live_members().values().map(|m| m.address).collect();
        for _ in 0..TELL.min(live.len()) {
            let to = live[self.dice.random_range(0..live.len())];
            let part = self.gauges.reports_to_send(now, own);
            self.say(to, &Message::LoadReports(part));
        }
    }

    /// What this proxy holds at this moment, for the others to know.
    pub fn set_in_flight(&mut self, held: u32) {
        self.held = Some(held);
    }

    /// What all others hold together, as far as is known: those that are not heard of count as the mean.
    pub fn others_in_flight(&self, now: Duration) -> Option<f64> {
        self.gauges.others_in_flight(now, self.membership.identity().proxy_index, self.size)
    }

    /// How old what is known of the others is: the mean and the most.
    pub fn report_ages(&self, now: Duration) -> ReportAges {
        self.gauges.report_ages(now, self.membership.identity().proxy_index)
    }

    /// When to call [`Node::tick`].
    pub fn next_tick_at(&self) -> Duration {
        self.membership.next_tick_at().min(self.round_at).min(self.tell_at)
    }

    fn say(&mut self, to: SocketAddr, message: &Message) {
        self.out.push_back((to, wire::encode(self.tag, message)));
    }

    /// The next datagram that has to go out.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let own = self.out.pop_front();
        own.or_else(|| {
            let (to, data) = self.membership.next_datagram()?;
            Some((to, wire::encode(self.tag, &Message::Swim(data.to_vec()))))
        })
    }

    /// Takes a request in under all of `limits`, by their places, or under none of them.
    ///
    /// # Errors
    /// One of them is reached.
    pub fn admit(&mut self, now: Duration, limits: &[u16]) -> Result<(), QuotaExceeded> {
        for limit in limits {
            if let Some(share) = self.quotas.get_mut(usize::from(*limit)) {
                share.check_available(now)?;
            }
        }
        for limit in limits {
            self.quotas.get_mut(usize::from(*limit)).into_iter().for_each(Quota::admit);
        }
        Ok(())
    }

    /// A request that was taken in under them is over.
    pub fn release(&mut self, limits: &[u16]) {
        for limit in limits {
            self.quotas.get_mut(usize::from(*limit)).into_iter().for_each(Quota::release);
        }
    }

    /// Another process acts for this proxy beside this one, or does no more.
    pub fn set_halved(&mut self, now: Duration, halved: bool) {
        self.quotas.iter_mut().for_each(|share| share.set_halved(now, halved));
    }

    /// Every share at `now`.
    pub fn quotas(&self, now: Duration) -> impl Iterator<Item = QuotaStatus> + '_ {
        self.names.iter().zip(&self.quotas).map(move |(name, share)| {
            let QuotaAmounts { usable, lent, borrowed } = share.amounts(now);
            let QuotaCounts { in_flight, admitted, rejected } = share.counts();
            QuotaStatus {
                limit: name.clone(),
                rate: usable.rate,
                slots: usable.slots,
                lent_rate: lent.rate,
                lent_slots: lent.slots,
                borrowed_rate: borrowed.rate,
                borrowed_slots: borrowed.slots,
                in_flight,
                admitted,
                rejected,
            }
        })
    }
}
