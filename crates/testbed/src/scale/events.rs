//! The events of an experiment, drawn in advance from its seed: which backends restart, and which leave as a group.

use super::directory::Change;
use super::experiment::Churn;
use crate::world::discovery::Status;
use crate::world::rng::Rng;
use std::hash::Hasher;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// States of a restarting backend: it drains, leaves and serves again, each for a third of the time between two
/// restarts.
const STAGES: [Status; 3] = [Status::Draining, Status::Deleted, Status::Serving];

/// Changes of some backends at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time since the first event.
    pub at: Duration,
    /// The changes of the list.
    pub changes: Vec<Change>,
}

/// Draws the restarts of single backends, uniformly, one after the other.
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

/// Draws the backends of a group that leaves at once; all backends if `count` is larger than their number.
pub fn group(count: usize, backends: usize, seed: u64) -> Vec<usize> {
    Rng::new(seed, "scale group").sample(backends, count)
}

/// Returns the change to `status` for each of the backends.
pub fn status_changes(backends: &[usize], status: Status) -> Vec<Change> {
    backends.iter().map(|backend| Change { backend: *backend, status }).collect()
}

/// Hashes all events for a number of backends. The hash is the same on every machine for the same churn and seed.
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
