//! The axis of members: the gossip of membership and load reports between proxies, in virtual time.

use super::experiment::AxisPlan;
use super::record::{Measurements, Metric};
use super::Rig;
use crate::world::rng::Rng;
use lotusdeck_fleet::{Identity, Node, NodeConfig, Seed};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::{Duration, Instant};

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Longest delay of a datagram, s.
const MAX_DELAY_S: f64 = 0.002;
/// Virtual time for the members to learn of each other.
const SETTLE: Duration = Duration::from_secs(15);
/// Virtual time of the measurement.
const MEASURED: Duration = Duration::from_secs(5);
/// Lease duration. No limits are shared here, so that it only sets the pace of rounds.
const LEASE_DURATION: Duration = Duration::from_secs(1);
/// Members that a new member contacts.
const SEEDS: usize = 3;
/// Port of the first member; ports stand for positions and no socket is opened.
const FIRST_PORT: u16 = 7_000;
/// Growth of the reported requests in flight, per second, so that there is always a change to report.
const IN_FLIGHT_PER_SECOND: f64 = 100.0;

/// Measures all steps of the axis in interleaved repetitions.
pub fn measure_axis(rig: &Rig<'_>, axis: &AxisPlan, measurements: &mut Measurements) {
    for repeat in 0..rig.experiment.repeats {
        for step in &axis.steps {
            rig.print(&format!("{} {step}, repetition {}\n", axis.of.name(), repeat + 1));
            let seed = rig.experiment.seed + repeat as u64;
            let membership_only = Gossip::new(*step, seed, false).measure();
            let with_reports = Gossip::new(*step, seed, true).measure();
            let mut note = |metric, value| measurements.add(axis.of, metric, *step, value);
            note(Metric::MembershipBytesPerSecond, membership_only.bytes_per_second);
            note(Metric::TalkBytesPerSecond, with_reports.bytes_per_second);
            note(Metric::TalkProcessorShare, with_reports.processor_share);
        }
    }
}

/// What gossip costs one member.
struct Cost {
    bytes_per_second: f64,
    processor_share: f64,
}

/// A datagram in transit: arrival time, us; sequence number, which keeps the order; receiver; content.
type Datagram = Reverse<(u64, u64, usize, Vec<u8>)>;

struct Gossip {
    nodes: Vec<Node>,
    now: Duration,
    in_transit: BinaryHeap<Datagram>,
    rng: Rng,
    sent: u64,
    bytes: u64,
    processor_time: Duration,
    reports_load: bool,
}

impl Gossip {
    fn new(members: usize, seed: u64, reports_load: bool) -> Gossip {
        let now = Duration::from_secs(1);
        let seeds: Vec<Seed> = (0..members.min(SEEDS))
            .map(|position| Seed { proxy_index: position as u32, address: address(position) })
            .collect();
        let node = |position: usize| {
            let config = NodeConfig {
                site: "scale".into(),
                identity: Identity {
                    proxy_index: position as u32,
                    generation: 1,
                    address: address(position),
                },
                fleet_size: NonZeroU32::new(members as u32).unwrap_or(NonZeroU32::MIN),
                seeds: seeds.clone(),
                limits: Vec::new(),
                lease_duration: LEASE_DURATION,
                max_request_duration: LEASE_DURATION,
                rng_seed: seed ^ (position as u64) << 32,
            };
            Node::new(config, now)
        };
        Gossip {
            nodes: (0..members).map(node).collect(),
            now,
            in_transit: BinaryHeap::new(),
            rng: Rng::new(seed, "scale talk"),
            sent: 0,
            bytes: 0,
            processor_time: Duration::ZERO,
            reports_load,
        }
    }

    fn measure(mut self) -> Cost {
        self.run(SETTLE);
        let (bytes, processor_time) = (self.bytes, self.processor_time);
        self.run(MEASURED);
        let member_seconds = MEASURED.as_secs_f64() * self.nodes.len() as f64;
        Cost {
            bytes_per_second: (self.bytes - bytes) as f64 / member_seconds,
            processor_share: (self.processor_time - processor_time).as_secs_f64() / member_seconds,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            (0..self.nodes.len()).for_each(|at| self.tick_node(at));
        }
    }

    fn deliver(&mut self) {
        let now = self.now.as_micros() as u64;
        while self.in_transit.peek().is_some_and(|Reverse(datagram)| datagram.0 <= now) {
            let Some(Reverse((_, _, to, bytes))) = self.in_transit.pop() else { break };
            let began = Instant::now();
            let _ = self.nodes[to].receive(self.now, &bytes); // all nodes run the same version, so this cannot fail
            self.processor_time += began.elapsed();
            self.send_pending(to);
        }
    }

    fn tick_node(&mut self, at: usize) {
        let in_flight = (self.now.as_secs_f64() * IN_FLIGHT_PER_SECOND) as u32;
        let node = &mut self.nodes[at];
        if self.reports_load {
            node.set_in_flight(in_flight);
        }
        if node.next_tick_at() <= self.now {
            let began = Instant::now();
            node.tick(self.now);
            self.processor_time += began.elapsed();
            self.send_pending(at);
        }
    }

    fn send_pending(&mut self, from: usize) {
        while let Some((to, bytes)) = self.nodes[from].next_datagram() {
            let to = usize::from(to.port() - FIRST_PORT);
            self.bytes += bytes.len() as u64;
            self.sent += 1;
            let at = self.now.as_micros() as u64 + (self.rng.unit() * MAX_DELAY_S * 1e6) as u64;
            self.in_transit.push(Reverse((at, self.sent, to, bytes)));
        }
    }
}

fn address(position: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + position as u16))
}
