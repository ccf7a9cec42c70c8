//! A fleet in virtual time: nodes with clocks of their own, links that lose, delay, double and cut, processes that die
//! and return, and clients. The oracle counts what all nodes admitted together.
#![allow(dead_code)]

use lotusdeck_fleet::{Identity, Limit, Node, NodeConfig, QuotaStatus, Seed};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::{Duration, Instant};

pub(crate) const TERM: Duration = Duration::from_secs(1);
pub(crate) const LONGEST: Duration = Duration::from_millis(1_500);
pub(crate) const BURST: Duration = Duration::from_millis(200);
/// Virtual time moves on by this, s.
pub(crate) const STEP: f64 = 0.005;

pub(crate) struct Place {
    pub node: Option<Node>,
    starts: u64,
    /// Its clock runs so much faster than the true time.
    pace: f64,
    offset: f64,
    /// Requests a second that its clients bring.
    pub load: f64,
    /// When each open request ends, and with which life it began.
    open: Vec<(f64, u64)>,
    /// It does nothing until then, as a stopped process does.
    pub paused_until: f64,
}

pub(crate) struct Sim {
    pub seed: u64,
    pub now: f64,
    pub places: Vec<Place>,
    pub limit: Limit,
    dice: SmallRng,
    /// By arrival, in us: (to, bytes), the latest first out.
    wire: BinaryHeap<(std::cmp::Reverse<u64>, u64, usize, Vec<u8>)>,
    sent: u64,
    pub loss: f64,
    pub doubled: f64,
    /// Delay of a datagram at most, s.
    pub delay: f64,
    /// Links that carry nothing: from, to.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    pub admitted: Vec<(f64, usize)>,
    pub asked: u64,
    pub most_open: usize,
    /// How long an admitted request is open, s at most.
    pub holds: f64,
    pub bytes: u64,
    pub datagrams: u64,
    /// The most that all shares were together, requests a second.
    pub most_shares: f64,
    /// Real time spent in the nodes.
    pub spent: Duration,
    /// Proxies tell what they hold: this, a wave that all are in at once.
    pub held: Option<fn(f64) -> u32>,
}

fn address(position: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + position as u16))
}

impl Sim {
    pub(crate) fn new(seed: u64, size: usize, rate: Option<f64>, slots: Option<u32>) -> Sim {
        let mut dice = SmallRng::seed_from_u64(seed);
        let places = (0..size).map(|_| Place {
            node: None,
            starts: 0,
            pace: dice.random_range(0.996..1.004),
            offset: dice.random_range(0.0..1e5),
            load: 0.0,
            open: Vec::new(),
            paused_until: 0.0,
        });
        let mut sim = Sim {
            seed,
            now: 1.0,
            places: places.collect(),
            limit: Limit { name: "all".into(), rate, slots, burst: BURST },
            dice: SmallRng::seed_from_u64(seed ^ 1),
            wire: BinaryHeap::new(),
            sent: 0,
            loss: 0.0,
            doubled: 0.0,
            delay: 0.002,
            cut: Box::new(|_, _| false),
            admitted: Vec::new(),
            asked: 0,
            most_open: 0,
            holds: 0.0,
            bytes: 0,
            datagrams: 0,
            most_shares: 0.0,
            spent: Duration::ZERO,
            held: None,
        };
        (0..size).for_each(|p| sim.start(p));
        sim
    }

    fn clock(&self, p: usize) -> Duration {
        Duration::from_secs_f64(self.places[p].offset + self.now * self.places[p].pace)
    }

    /// A process begins, in place of the one before, if there was one.
    pub(crate) fn start(&mut self, p: usize) {
        self.kill(p);
        self.places[p].starts += 1;
        let generation = (self.now * 1e3) as u64 + self.places[p].starts;
        let size = NonZeroU32::new(self.places.len() as u32).unwrap();
        let config = NodeConfig {
            site: "sim".into(),
            identity: Identity { proxy_index: p as u32, generation, address: address(p) },
            fleet_size: size,
            seeds: (0..self.places.len().min(3))
                .map(|at| Seed { proxy_index: at as u32, address: address(at) })
                .collect(),
            limits: vec![self.limit.clone()],
            lease_duration: TERM,
            max_request_duration: LONGEST,
            rng_seed: self.seed ^ (p as u64) << 32 ^ self.places[p].starts,
        };
        let now = self.clock(p);
        self.places[p].node = Some(Node::new(config, now));
    }

    /// A process ends; its open requests end with it.
    pub(crate) fn kill(&mut self, p: usize) {
        self.places[p].node = None;
        self.places[p].open.clear();
    }

    fn post(&mut self, from: usize) {
        while let Some((to, bytes)) = self.places[from].node.as_mut().and_then(Node::next_datagram) {
            let to = usize::from(to.port()) - 7_000;
            (self.bytes, self.datagrams) = (self.bytes + bytes.len() as u64, self.datagrams + 1);
            if to >= self.places.len() || (self.cut)(from, to) || self.dice.random_bool(self.loss) {
                continue;
            }
            for _ in 0..1 + usize::from(self.dice.random_bool(self.doubled)) {
                let at = self.now + self.dice.random_range(0.0002..self.delay.max(0.0003));
                self.sent += 1;
                self.wire.push((std::cmp::Reverse((at * 1e6) as u64), self.sent, to, bytes.clone()));
            }
        }
    }

    /// Puts bytes on the wire as a stranger or a liar would.
    pub(crate) fn inject(&mut self, to: usize, bytes: Vec<u8>) {
        self.sent += 1;
        self.wire.push((std::cmp::Reverse((self.now * 1e6) as u64), self.sent, to, bytes));
    }

    fn clients(&mut self, p: usize) {
        let (now, clock) = (self.now, self.clock(p));
        let expected = self.places[p].load * STEP;
        let mut come = expected.floor() as u32;
        come += u32::from(self.dice.random_bool(expected.fract()));
        for _ in 0..come {
            let hold = if self.holds > 0.0 { self.dice.random_range(0.0..self.holds) } else { 0.0 };
            let place = &mut self.places[p];
            let Some(node) = place.node.as_mut() else { continue };
            self.asked += 1;
            if node.admit(clock, &[0]).is_ok() {
                self.admitted.push((now, p));
                if self.holds > 0.0 {
                    place.open.push((now + hold, place.starts));
                } else {
                    node.release(&[0]);
                }
            }
        }
    }

    fn end_requests(&mut self, p: usize) {
        let now = self.now;
        let place = &mut self.places[p];
        let before = place.open.len();
        place.open.retain(|(until, _)| *until > now);
        for _ in place.open.len()..before {
            place.node.as_mut().into_iter().for_each(|node| node.release(&[0]));
        }
    }

    pub(crate) fn run(&mut self, span: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            while self.wire.peek().is_some_and(|d| d.0 .0 as f64 / 1e6 <= self.now) {
                let Some((_, _, to, bytes)) = self.wire.pop() else { break };
                let clock = self.clock(to);
                let paused = self.places[to].paused_until > self.now;
                if let Some(node) = self.places[to].node.as_mut().filter(|_| !paused) {
                    let begun = Instant::now();
                    let _ = node.receive(clock, &bytes);
                    self.spent += begun.elapsed();
                    self.post(to);
                }
            }
            for p in 0..self.places.len() {
                if self.places[p].paused_until > self.now {
                    continue;
                }
                self.end_requests(p);
                let clock = self.clock(p);
                let held = self.held.map(|held| held(self.now));
                if let Some(node) = self.places[p].node.as_mut().filter(|n| n.next_tick_at() <= clock) {
                    held.into_iter().for_each(|n| node.set_in_flight(n));
                    let begun = Instant::now();
                    node.tick(clock);
                    self.spent += begun.elapsed();
                    self.post(p);
                }
                self.clients(p);
            }
            let open = self.places.iter().map(|p| p.open.len()).sum();
            self.most_open = self.most_open.max(open);
            self.check_shares();
        }
    }

    /// At every moment: what all may use, or still use of what they might, is no more than the limit.
    fn check_shares(&mut self) {
        let (mut rate, mut slots) = (0.0, 0);
        for (p, place) in self.places.iter().enumerate() {
            let Some(view) = place.node.as_ref().and_then(|n| n.quotas(self.clock(p)).next()) else {
                continue;
            };
            (rate, slots) = (rate + view.rate, slots + view.slots.max(view.in_flight));
        }
        self.most_shares = self.most_shares.max(rate);
        let (most_rate, most_slots) = (self.limit.rate.unwrap_or(0.0), self.limit.slots.unwrap_or(0));
        let at = format!("seed {} at {:.3} s", self.seed, self.now);
        assert!(rate <= most_rate * (1.0 + 1e-9), "{at}: shares of {rate} in a limit of {most_rate}");
        assert!(self.limit.slots.is_none() || slots <= most_slots, "{at}: {slots} slots of {most_slots}");
    }

    /// By how many requests what was admitted in any span was over the limit's rate for that span.
    pub(crate) fn over(&self) -> f64 {
        let rate = self.limit.rate.unwrap() * 1.004; // the fastest clock
        let (mut worst, mut least) = (0.0f64, f64::INFINITY);
        for (k, (at, _)) in self.admitted.iter().enumerate() {
            let line = k as f64 - rate * at;
            least = least.min(line);
            worst = worst.max(line - least + 1.0);
        }
        worst
    }

    /// What the page allows: what all shares may gather, one request each at least.
    pub(crate) fn allowed(&self) -> f64 {
        let share = self.limit.rate.unwrap() / self.places.len() as f64;
        let depth = (share * BURST.as_secs_f64()).max(1.0);
        // Shares differ once some are lent; no sum of depths is over this.
        (depth * self.places.len() as f64)
            .max(self.limit.rate.unwrap() * BURST.as_secs_f64() + self.places.len() as f64)
    }

    /// Requests admitted a second in a span of true time.
    pub(crate) fn served(&self, from: f64, to: f64) -> f64 {
        self.admitted.iter().filter(|a| (from..to).contains(&a.0)).count() as f64 / (to - from)
    }

    /// What a proxy may use, lent and borrowed.
    pub(crate) fn share(&self, p: usize) -> Option<QuotaStatus> {
        self.places[p].node.as_ref().and_then(|n| n.quotas(self.clock(p)).next())
    }

    /// What a proxy believes that the others hold.
    pub(crate) fn others_hold(&self, p: usize) -> Option<f64> {
        self.places[p].node.as_ref()?.others_in_flight(self.clock(p))
    }

    pub(crate) fn seen_by(&self, p: usize) -> usize {
        self.places[p].node.as_ref().map_or(0, |n| n.membership().live_members().len())
    }

    pub(crate) fn views(&self) -> BTreeMap<usize, usize> {
        (0..self.places.len()).map(|p| (p, self.seen_by(p))).collect()
    }
}
