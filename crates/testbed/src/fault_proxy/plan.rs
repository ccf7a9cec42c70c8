//! The faults of each connection, drawn from the script's seed by route and number of the connection. They do
//! not depend on the order in which connections of different routes arrive, so that the same seed always gives
//! the same plan.

use super::script::{Direction, Fault, FaultKind, Place, Script};
use crate::world::rng::Rng;
use std::hash::Hasher;
use xxhash_rust::xxh3::Xxh3;

/// The trigger of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum When {
    /// Before this byte of its direction.
    Byte(u64),
    /// At this message, counted from 1.
    Message(u64, Place),
    /// This number of microseconds after the connection was accepted.
    After(u64),
    /// When this word is given.
    Word(String),
}

/// A fault planned for a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Due {
    /// The index of the fault in the route's list.
    pub index: usize,
    /// Its direction.
    pub way: Direction,
    /// Its trigger.
    pub when: When,
    /// The word that it gives when it happens.
    pub gives: Option<String>,
    /// Its effect.
    pub what: FaultKind,
    /// Seed of random draws during its effect.
    pub seed: u64,
}

/// Draws the faults of one connection.
pub fn draw(script: &Script, route: usize, connection: u64) -> Vec<Due> {
    let Some(from) = script.route.get(route) else { return Vec::new() };
    let draw_fault = |(index, fault): (usize, &Fault)| {
        // Each fault has its own random stream, so that adding another fault does not change its draws.
        let mut rng = Rng::new(script.seed, &format!("relay/{}/{connection}/{index}", from.name));
        let applies = fault.connections.as_ref().is_none_or(|c| c.contains(&connection));
        if rng.unit() >= fault.part || !applies {
            return None;
        }
        let byte = fault.after_bytes.map(|min| {
            let span = fault.until_bytes.map_or(0, |max| max - min);
            When::Byte(min + (rng.unit() * (span + 1) as f64) as u64)
        });
        let message = fault.message.map(|n| When::Message(n, fault.place.unwrap_or_default()));
        let time = fault.after_ms.map(|ms| When::After(ms.saturating_mul(1000)));
        let when = byte.or(message).or(time).or(fault.on.clone().map(When::Word))?;
        let seed = (rng.unit() * (1u64 << 53) as f64) as u64;
        Some(Due { index, way: fault.way, when, gives: fault.gives.clone(), what: fault.what.clone(), seed })
    };
    from.fault.iter().enumerate().filter_map(draw_fault).collect()
}

/// Hashes the planned faults of the first `connections` connections of each route.
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
