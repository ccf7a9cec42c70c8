//! The axis of members: the gossip of membership and load reports between proxies, in virtual time.

use super::experiment::AxisPlan;
use super::record::{Gathered, Metric};
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
const DELAY_S: f64 = 0.002;
/// Virtual time for the members to learn of each other.
const SETTLE: Duration = Duration::from_secs(15);
/// Virtual time of the measurement.
const MEASURED: Duration = Duration::from_secs(5);
/// Lease duration. No limits are shared here, so that it only sets the pace of rounds.
const TERM: Duration = Duration::from_secs(1);
/// Members that a new member contacts.
const SEEDS: usize = 3;
/// Port of the first member; ports stand for positions and no socket is opened.
const FIRST_PORT: u16 = 7_000;
/// Growth of the reported requests in flight, per second, so that there is always a change to report.
const HELD_PER_SECOND: f64 = 100.0;

/// Measures all steps of the axis in interleaved repetitions.
pub fn walk(rig: &Rig<'_>, axis: &AxisPlan, gathered: &mut Gathered) {
    for repeat in 0..rig.experiment.repeats {
        for step in &axis.steps {
            rig.say(&format!("{} {step}, repetition {}\n", axis.of.name(), repeat + 1));
            let seed = rig.experiment.seed + repeat as u64;
            let silent = Talk::new(*step, seed, false).measure();
            let telling = Talk::new(*step, seed, true).measure();
            let mut note = |metric, value| gathered.add(axis.of, metric, *step, value);
            note(Metric::MembershipBytesPerSecond, silent.bytes_per_second);
            note(Metric::TalkBytesPerSecond, telling.bytes_per_second);
            note(Metric::TalkProcessorShare, telling.processor_share);
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

struct Talk {
    nodes: Vec<Node>,
    now: Duration,
    wire: BinaryHeap<Datagram>,
    rng: Rng,
    sent: u64,
    bytes: u64,
    spent: Duration,
    tells: bool,
}

impl Talk {
    fn new(members: usize, seed: u64, tells: bool) -> Talk {
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
                lease_duration: TERM,
                max_request_duration: TERM,
                rng_seed: seed ^ (position as u64) << 32,
            };
            Node::new(config, now)
        };
        Talk {
            nodes: (0..members).map(node).collect(),
            now,
            wire: BinaryHeap::new(),
            rng: Rng::new(seed, "scale talk"),
            sent: 0,
            bytes: 0,
            spent: Duration::ZERO,
            tells,
        }
    }

    fn measure(mut self) -> Cost {
        self.run(SETTLE);
        let (bytes, spent) = (self.bytes, self.spent);
        self.run(MEASURED);
        let member_seconds = MEASURED.as_secs_f64() * self.nodes.len() as f64;
        Cost {
            bytes_per_second: (self.bytes - bytes) as f64 / member_seconds,
            processor_share: (self.spent - spent).as_secs_f64() / member_seconds,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            (0..self.nodes.len()).for_each(|at| self.turn(at));
        }
    }

    fn deliver(&mut self) {
        let now = self.now.as_micros() as u64;
        while self.wire.peek().is_some_and(|Reverse(datagram)| datagram.0 <= now) {
            let Some(Reverse((_, _, to, bytes))) = self.wire.pop() else { break };
            let began = Instant::now();
            let _ = self.nodes[to].receive(self.now, &bytes); // all nodes run the same version, so this cannot fail
            self.spent += began.elapsed();
            self.post(to);
        }
    }

    fn turn(&mut self, at: usize) {
        let held = (self.now.as_secs_f64() * HELD_PER_SECOND) as u32;
        let node = &mut self.nodes[at];
        if self.tells {
            node.set_in_flight(held);
        }
        if node.next_tick_at() <= self.now {
            let began = Instant::now();
            node.tick(self.now);
            self.spent += began.elapsed();
            self.post(at);
        }
    }

    fn post(&mut self, from: usize) {
        while let Some((to, bytes)) = self.nodes[from].next_datagram() {
            let to = usize::from(to.port() - FIRST_PORT);
            self.bytes += bytes.len() as u64;
            self.sent += 1;
            let at = self.now.as_micros() as u64 + (self.rng.unit() * DELAY_S * 1e6) as u64;
            self.wire.push(Reverse((at, self.sent, to, bytes)));
        }
    }
}

fn address(position: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + position as u16))
}
