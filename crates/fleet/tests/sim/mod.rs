//! Simulates a fleet in virtual time: nodes with separate clocks, links that lose, delay and duplicate datagrams or
//! fail, processes that are killed and restarted, and clients. All requests that the nodes admit are counted.
#![allow(dead_code)]

mod network;

use lotusdeck_fleet::{Identity, Limit, Node, NodeConfig, QuotaStatus, Seed};
use network::{DatagramInTransit, Network};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::{Duration, Instant};

pub(crate) const LEASE_DURATION: Duration = Duration::from_secs(1);
pub(crate) const MAX_REQUEST_DURATION: Duration = Duration::from_millis(1_500);
pub(crate) const BURST: Duration = Duration::from_millis(200);
/// Port of the first proxy. Ports identify proxies; no socket is opened.
const FIRST_PORT: u16 = 7_000;
/// Step of the virtual time in seconds.
pub(crate) const STEP_S: f64 = 0.005;

pub(crate) struct SimulatedProxy {
    pub node: Option<Node>,
    incarnation: u64,
    /// Rate of its clock relative to the true time.
    clock_rate: f64,
    /// Time of its clock at true time 0, in seconds.
    clock_offset: f64,
    /// Load from its clients in requests a second.
    pub load: f64,
    /// True time at which each request in flight ends.
    request_ends: Vec<f64>,
    /// True time until which it does nothing, like a stopped process.
    pub paused_until: f64,
}

pub(crate) struct Sim {
    pub seed: u64,
    /// True time in seconds.
    pub now: f64,
    pub proxies: Vec<SimulatedProxy>,
    pub limit: Limit,
    rng: SmallRng,
    pub network: Network,
    pub admitted: Vec<AdmittedRequest>,
    /// Maximum number of requests in flight at the same time.
    pub max_in_flight: usize,
    /// Maximum duration of an admitted request in seconds.
    pub max_duration: f64,
    /// Maximum over time of the sum of all quotas, in requests a second.
    pub max_quota_sum: f64,
    /// Real time spent in the nodes.
    pub processing_time: Duration,
    /// The load that all proxies report, as a function of the true time.
    pub reported_load: Option<fn(f64) -> u32>,
}

/// A request that a proxy admitted.
pub(crate) struct AdmittedRequest {
    /// True time in seconds.
    pub at: f64,
    pub proxy: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16))
}

impl Sim {
    pub(crate) fn new(seed: u64, size: usize, rate: Option<f64>, slots: Option<u32>) -> Sim {
        let mut rng = SmallRng::seed_from_u64(seed);
        let proxies = (0..size).map(|_| SimulatedProxy {
            node: None,
            incarnation: 0,
            clock_rate: rng.random_range(0.996..1.004),
            clock_offset: rng.random_range(0.0..1e5),
            load: 0.0,
            request_ends: Vec::new(),
            paused_until: 0.0,
        });
        let mut sim = Sim {
            seed,
            now: 1.0,
            proxies: proxies.collect(),
            limit: Limit { name: "all".into(), rate, slots, burst: BURST },
            rng: SmallRng::seed_from_u64(seed ^ 1),
            network: Network::new(),
            admitted: Vec::new(),
            max_in_flight: 0,
            max_duration: 0.0,
            max_quota_sum: 0.0,
            processing_time: Duration::ZERO,
            reported_load: None,
        };
        (0..size).for_each(|index| sim.start(index));
        sim
    }

    fn clock(&self, index: usize) -> Duration {
        Duration::from_secs_f64(self.proxies[index].clock_offset + self.now * self.proxies[index].clock_rate)
    }

    /// Starts a process in place of the previous one, if any.
    pub(crate) fn start(&mut self, index: usize) {
        self.kill(index);
        self.proxies[index].incarnation += 1;
        let generation = (self.now * 1e3) as u64 + self.proxies[index].incarnation;
        let size = NonZeroU32::new(self.proxies.len() as u32).unwrap();
        let config = NodeConfig {
            site: "sim".into(),
            identity: Identity { proxy_index: index as u32, generation, address: address(index) },
            fleet_size: size,
            seeds: (0..self.proxies.len().min(3))
                .map(|index| Seed { proxy_index: index as u32, address: address(index) })
                .collect(),
            limits: vec![self.limit.clone()],
            lease_duration: LEASE_DURATION,
            max_request_duration: MAX_REQUEST_DURATION,
            rng_seed: self.seed ^ (index as u64) << 32 ^ self.proxies[index].incarnation,
        };
        let now = self.clock(index);
        self.proxies[index].node = Some(Node::new(config, now));
    }

    /// Ends a process and its requests.
    pub(crate) fn kill(&mut self, index: usize) {
        self.proxies[index].node = None;
        self.proxies[index].request_ends.clear();
    }

    fn send_datagrams(&mut self, from: usize) {
        while let Some((to, bytes)) = self.proxies[from].node.as_mut().and_then(Node::next_datagram) {
            let to = Some(usize::from(to.port() - FIRST_PORT)).filter(|to| *to < self.proxies.len());
            self.network.send(&mut self.rng, self.now, from, to, &bytes);
        }
    }

    /// Delivers bytes to a proxy as if a third party had sent them.
    pub(crate) fn inject(&mut self, to: usize, bytes: Vec<u8>) {
        self.network.put_in_transit(self.now, to, bytes);
    }

    fn send_requests(&mut self, index: usize) {
        let (now, clock) = (self.now, self.clock(index));
        let expected = self.proxies[index].load * STEP_S;
        let mut arrivals = expected.floor() as u32;
        arrivals += u32::from(self.rng.random_bool(expected.fract()));
        for _ in 0..arrivals {
            let duration =
                if self.max_duration > 0.0 { self.rng.random_range(0.0..self.max_duration) } else { 0.0 };
            let proxy = &mut self.proxies[index];
            let Some(node) = proxy.node.as_mut() else { continue };
            if node.admit(clock, &[0]).is_ok() {
                self.admitted.push(AdmittedRequest { at: now, proxy: index });
                if self.max_duration > 0.0 {
                    proxy.request_ends.push(now + duration);
                } else {
                    node.release(&[0]);
                }
            }
        }
    }

    fn end_requests(&mut self, index: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[index];
        let before = proxy.request_ends.len();
        proxy.request_ends.retain(|ends_at| *ends_at > now);
        for _ in proxy.request_ends.len()..before {
            proxy.node.as_mut().into_iter().for_each(|node| node.release(&[0]));
        }
    }

    pub(crate) fn run(&mut self, span: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP_S;
            self.deliver_datagrams();
            for index in 0..self.proxies.len() {
                self.run_proxy(index);
            }
            let in_flight = self.proxies.iter().map(|proxy| proxy.request_ends.len()).sum();
            self.max_in_flight = self.max_in_flight.max(in_flight);
            self.check_quotas();
        }
    }

    fn deliver_datagrams(&mut self) {
        while let Some(DatagramInTransit { to, bytes, .. }) = self.network.next_arrived(self.now) {
            let clock = self.clock(to);
            let is_paused = self.proxies[to].paused_until > self.now;
            if let Some(node) = self.proxies[to].node.as_mut().filter(|_| !is_paused) {
                let started = Instant::now();
                let _ = node.receive(clock, &bytes);
                self.processing_time += started.elapsed();
                self.send_datagrams(to);
            }
        }
    }

    fn run_proxy(&mut self, index: usize) {
        if self.proxies[index].paused_until > self.now {
            return;
        }
        self.end_requests(index);
        let clock = self.clock(index);
        let load = self.reported_load.map(|load| load(self.now));
        if let Some(node) = self.proxies[index].node.as_mut().filter(|node| node.next_tick_at() <= clock) {
            load.into_iter().for_each(|load| node.set_in_flight(load));
            let started = Instant::now();
            node.tick(clock);
            self.processing_time += started.elapsed();
            self.send_datagrams(index);
        }
        self.send_requests(index);
    }

    /// Checks that all quotas together, with the slots still in use beyond them, are within the limit.
    fn check_quotas(&mut self) {
        let (mut rate, mut slots) = (0.0, 0);
        for (index, proxy) in self.proxies.iter().enumerate() {
            let Some(status) = proxy.node.as_ref().and_then(|n| n.quotas(self.clock(index)).next()) else {
                continue;
            };
            (rate, slots) = (rate + status.rate, slots + status.slots.max(status.in_flight));
        }
        self.max_quota_sum = self.max_quota_sum.max(rate);
        let (max_rate, max_slots) = (self.limit.rate.unwrap_or(0.0), self.limit.slots.unwrap_or(0));
        let context = format!("seed {} at {:.3} s", self.seed, self.now);
        assert!(rate <= max_rate * (1.0 + 1e-9), "{context}: quotas of {rate} in a limit of {max_rate}");
        assert!(self.limit.slots.is_none() || slots <= max_slots, "{context}: {slots} slots of {max_slots}");
    }

    /// Returns the maximum number of requests by which the admissions in any span exceeded the rate of the limit.
    pub(crate) fn excess(&self) -> f64 {
        let rate = self.limit.rate.unwrap() * 1.004; // the fastest clock
        let (mut max_excess, mut min_surplus) = (0.0f64, f64::INFINITY);
        for (count, request) in self.admitted.iter().enumerate() {
            let surplus = count as f64 - rate * request.at;
            min_surplus = min_surplus.min(surplus);
            max_excess = max_excess.max(surplus - min_surplus + 1.0);
        }
        max_excess
    }

    /// Returns the allowed excess: what all quotas can accumulate, at least one request each.
    pub(crate) fn allowed_excess(&self) -> f64 {
        let own_rate = self.limit.rate.unwrap() / self.proxies.len() as f64;
        let burst = (own_rate * BURST.as_secs_f64()).max(1.0);
        // Quotas differ once parts are lent. The sum of their bursts never exceeds this.
        (burst * self.proxies.len() as f64)
            .max(self.limit.rate.unwrap() * BURST.as_secs_f64() + self.proxies.len() as f64)
    }

    /// Sets the load of each proxy, in requests a second, as a function of its index.
    pub(crate) fn set_loads(&mut self, load: impl Fn(usize) -> f64) {
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            proxy.load = load(index);
        }
    }

    /// Counts the requests that one proxy has admitted since a moment of true time.
    pub(crate) fn admitted_by(&self, proxy: usize, since: f64) -> f64 {
        let is_counted = |request: &&AdmittedRequest| request.proxy == proxy && request.at > since;
        self.admitted.iter().filter(is_counted).count() as f64
    }

    /// Returns the requests admitted per second in a span of true time.
    pub(crate) fn served(&self, from: f64, to: f64) -> f64 {
        self.admitted.iter().filter(|request| (from..to).contains(&request.at)).count() as f64 / (to - from)
    }

    /// Returns the status of a proxy's quota.
    pub(crate) fn quota_status(&self, index: usize) -> Option<QuotaStatus> {
        self.proxies[index].node.as_ref().and_then(|n| n.quotas(self.clock(index)).next())
    }

    /// Returns the total load of the other proxies as a proxy knows it.
    pub(crate) fn others_in_flight(&self, index: usize) -> Option<f64> {
        self.proxies[index].node.as_ref()?.others_in_flight(self.clock(index))
    }

    pub(crate) fn live_members_seen_by(&self, index: usize) -> usize {
        self.proxies[index].node.as_ref().map_or(0, |n| n.membership().live_members().len())
    }

    pub(crate) fn live_members(&self) -> BTreeMap<usize, usize> {
        (0..self.proxies.len()).map(|index| (index, self.live_members_seen_by(index))).collect()
    }
}
