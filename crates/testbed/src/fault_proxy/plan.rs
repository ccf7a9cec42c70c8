//! What a seed makes of a script: which faults each connection meets, and where. Drawn by route and number of the
//! connection, never by the order in which connections come, so that the same seed always gives the same plan.

use super::script::{Fault, Place, Script, Way, What};
use crate::world::rng::Rng;
use std::hash::Hasher;
use xxhash_rust::xxh3::Xxh3;

/// When a fault happens.
#[derive(Clone, Debug, PartialEq)]
pub enum When {
    /// Before this byte of its direction.
    Byte(u64),
    /// At this message, counted from 1.
    Message(u64, Place),
    /// So many microseconds after the connection came.
    After(u64),
    /// When this word is given.
    Word(String),
}

/// A fault that a connection is to meet.
#[derive(Clone, Debug, PartialEq)]
pub struct Due {
    /// Its place in the route's list.
    pub index: usize,
    /// Its direction.
    pub way: Way,
    /// When.
    pub when: When,
    /// The word that it gives.
    pub gives: Option<String>,
    /// What.
    pub what: What,
    /// Seed of draws while it lasts.
    pub seed: u64,
}

/// The faults of one connection.
pub fn draw(script: &Script, route: usize, connection: u64) -> Vec<Due> {
    let Some(from) = script.route.get(route) else { return Vec::new() };
    let one = |(index, fault): (usize, &Fault)| {
        // A stream for each fault: another one beside it leaves its draws as they were.
        let mut rng = Rng::new(script.seed, &format!("relay/{}/{connection}/{index}", from.name));
        let meant = fault.connections.as_ref().is_none_or(|c| c.contains(&connection));
        if rng.unit() >= fault.part || !meant {
            return None;
        }
        let byte = fault.after_bytes.map(|least| {
            let span = fault.until_bytes.map_or(0, |most| most - least);
            When::Byte(least + (rng.unit() * (span + 1) as f64) as u64)
        });
        let message = fault.message.map(|n| When::Message(n, fault.place.unwrap_or_default()));
        let time = fault.after_ms.map(|ms| When::After(ms.saturating_mul(1000)));
        let when = byte.or(message).or(time).or(fault.on.clone().map(When::Word))?;
        let seed = (rng.unit() * (1u64 << 53) as f64) as u64;
        Some(Due { index, way: fault.way, when, gives: fault.gives.clone(), what: fault.what.clone(), seed })
    };
    from.fault.iter().enumerate().filter_map(one).collect()
}

/// A number that stands for what the first so many connections of each route are to meet.
pub fn hash(script: &Script, connections: u64) -> u64 {
    let mut hash = Xxh3::new();
    for (route, of) in script.route.iter().enumerate() {
        for connection in 0..connections {
            hash.write(format!("{} {connection} {:?}", of.name, draw(script, route, connection)).as_bytes());
        }
    }
    hash.finish()
}

#[cfg(test)]
mod tests;
