//! How a follower polls, and how much work it does at a time.

use std::time::Duration;

/// How a follower polls, and how much work it does at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerSettings {
    /// How long the source may defer its answer while it has nothing later.
    pub poll_wait: Duration,
    /// How long an answer may take beyond that wait before the poll fails.
    pub poll_timeout: Duration,
    /// The first pause after a failure.
    pub initial_backoff: Duration,
    /// The longest pause after consecutive failures.
    pub max_backoff: Duration,
    /// The pause before a full document is requested again after one was rejected: it is megabytes each time.
    pub full_refetch_after: Duration,
    /// Entries that are verified or committed in one step: at some 1 us each, a step takes a quarter of a millisecond.
    pub entries_per_slice: usize,
}

impl Default for FollowerSettings {
    /// A broken connection is noticed after 12 s at most. This leaves 8 s of the 20 s in which a change has to be in
    /// force for a pause, the answer and its verification (docs/configuration-distribution.md).
    fn default() -> FollowerSettings {
        FollowerSettings {
            poll_wait: Duration::from_secs(10),
            poll_timeout: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
            full_refetch_after: Duration::from_secs(30),
            entries_per_slice: 256,
        }
    }
}
