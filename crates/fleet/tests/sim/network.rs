//! Links that lose, delay and duplicate datagrams, or fail.

use rand::rngs::SmallRng;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Minimum delay of a datagram in seconds.
const MIN_DELAY_S: f64 = 0.000_2;

/// A datagram in transit. A datagram that arrives earlier is greater.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DatagramInTransit {
    arrives_at_us: Reverse<u64>,
    number: u64,
    pub to: usize,
    pub bytes: Vec<u8>,
}

/// All links of the fleet.
pub(crate) struct Network {
    /// Datagrams in transit, with the next arrival on top.
    in_transit: BinaryHeap<DatagramInTransit>,
    last_number: u64,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram arrives twice.
    pub duplication: f64,
    /// Maximum delay of a datagram in seconds.
    pub max_delay: f64,
    /// Whether the link from one proxy to another is down.
    pub is_link_down: Box<dyn Fn(usize, usize) -> bool>,
    /// Total bytes of all datagrams sent.
    pub bytes: u64,
    /// Number of datagrams sent.
    pub datagrams: u64,
}

impl Network {
    pub(crate) fn new() -> Network {
        Network {
            in_transit: BinaryHeap::new(),
            last_number: 0,
            loss: 0.0,
            duplication: 0.0,
            max_delay: 0.002,
            is_link_down: Box::new(|_, _| false),
            bytes: 0,
            datagrams: 0,
        }
    }

    /// Repairs all links.
    pub(crate) fn heal(&mut self) {
        self.is_link_down = Box::new(|_, _| false);
    }

    /// Sends a datagram. `to` is `None` if there is no such proxy.
    pub(crate) fn send(
        &mut self, rng: &mut SmallRng, now: f64, from: usize, to: Option<usize>, bytes: &[u8],
    ) {
        self.bytes += bytes.len() as u64;
        self.datagrams += 1;
        let Some(to) = to else { return };
        if (self.is_link_down)(from, to) || rng.random_bool(self.loss) {
            return;
        }
        for _ in 0..1 + usize::from(rng.random_bool(self.duplication)) {
            let arrives_at = now + rng.random_range(MIN_DELAY_S..self.max_delay.max(0.000_3));
            self.put_in_transit(arrives_at, to, bytes.to_vec());
        }
    }

    /// Adds a datagram that arrives at `arrives_at`.
    pub(crate) fn put_in_transit(&mut self, arrives_at: f64, to: usize, bytes: Vec<u8>) {
        self.last_number += 1;
        let arrives_at_us = Reverse((arrives_at * 1e6) as u64);
        self.in_transit.push(DatagramInTransit { arrives_at_us, number: self.last_number, to, bytes });
    }

    /// Removes and returns the next datagram that has arrived.
    pub(crate) fn next_arrived(&mut self, now: f64) -> Option<DatagramInTransit> {
        let next = self.in_transit.peek()?;
        if next.arrives_at_us.0 as f64 / 1e6 > now {
            return None;
        }
        self.in_transit.pop()
    }
}
