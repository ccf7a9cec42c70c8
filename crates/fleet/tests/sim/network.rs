//! Links that lose, delay, duplicate and partition.

use rand::rngs::SmallRng;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The shortest delay of a datagram, s.
const MIN_DELAY_S: f64 = 0.000_2;

/// Ordered by arrival, the earliest greatest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DatagramInTransit {
    arrives_at_us: Reverse<u64>,
    number: u64,
    pub to: usize,
    pub bytes: Vec<u8>,
}

/// All links of the fleet.
pub(crate) struct Network {
    /// Datagrams in transit, the next to arrive first.
    in_transit: BinaryHeap<DatagramInTransit>,
    last_number: u64,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram arrives twice.
    pub duplication: f64,
    /// The longest delay of a datagram, s.
    pub max_delay: f64,
    /// Whether the link from one proxy to another is down.
    pub is_link_down: Box<dyn Fn(usize, usize) -> bool>,
    /// Bytes of all datagrams sent.
    pub bytes: u64,
    /// All datagrams sent.
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

    /// Sends a datagram; `to` is `None` where there is no such proxy.
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

    /// Adds a datagram that no proxy has sent.
    pub(crate) fn put_in_transit(&mut self, arrives_at: f64, to: usize, bytes: Vec<u8>) {
        self.last_number += 1;
        let arrives_at_us = Reverse((arrives_at * 1e6) as u64);
        self.in_transit.push(DatagramInTransit { arrives_at_us, number: self.last_number, to, bytes });
    }

    /// The next datagram that has arrived.
    pub(crate) fn next_arrived(&mut self, now: f64) -> Option<DatagramInTransit> {
        let next = self.in_transit.peek()?;
        if next.arrives_at_us.0 as f64 / 1e6 > now {
            return None;
        }
        self.in_transit.pop()
    }
}
