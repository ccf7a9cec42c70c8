//! The events of an experiment, all drawn ahead from its seed: which backends restart, which go in one group.

use super::directory::Change;
use super::experiment::Churn;
use crate::world::discovery::Status;
use crate::world::rng::Rng;
use std::hash::Hasher;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// A restarting backend drains, leaves, and serves anew: a third of the time between two restarts each.
const STAGES: [Status; 3] = [Status::Draining, Status::Deleted, Status::Serving];

/// What happens to some backends at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// After the first event's start.
    pub at: Duration,
    /// What the list says from then on.
    pub changes: Vec<Change>,
}

/// Restarts of single backends, drawn evenly, one after the other.
pub fn restarts(churn: &Churn, backends: usize, seed: u64) -> Vec<Event> {
    let mut rng = Rng::new(seed, "scale restarts");
    let every = 1.0 / churn.restarts_per_s;
    let restart = |number: usize| {
        let backend = rng.below(backends);
        STAGES.iter().enumerate().map(move |(stage, status)| {
            let at = (number as f64 + stage as f64 / STAGES.len() as f64) * every;
            let changes = vec![Change { backend, status: *status }];
            Event { at: Duration::from_secs_f64(at), changes }
        })
    };
    (0..churn.restarts).flat_map(restart).collect()
}

/// The backends of a group that goes at once; as many as there are, where it is larger.
pub fn group(count: usize, backends: usize, seed: u64) -> Vec<usize> {
    Rng::new(seed, "scale group").sample(backends, count)
}

/// The same change for all of them.
pub fn all(backends: &[usize], status: Status) -> Vec<Change> {
    backends.iter().map(|backend| Change { backend: *backend, status }).collect()
}

/// A hash of all events of a number of backends: the same for the same churn and seed on every machine.
pub fn hash(churn: &Churn, backends: usize, seed: u64) -> u64 {
    let mut hasher = Xxh3::new();
    for event in restarts(churn, backends, seed) {
        hasher.write_u64(event.at.as_micros() as u64);
        for change in event.changes {
            hasher.write_u64(change.backend as u64);
            hasher.write_u64(change.status as u64);
        }
    }
    for count in &churn.groups {
        group(*count, backends, seed).into_iter().for_each(|backend| hasher.write_u64(backend as u64));
    }
    hasher.finish()
}
