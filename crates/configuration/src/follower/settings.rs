//! Settings of a follower: the timing of its polls and the size of its slices.

use std::time::Duration;

/// Settings of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerSettings {
    /// How long the source may hold a poll while it has no later version.
    pub poll_wait: Duration,
    /// How long after that wait the poll fails if the answer has not arrived.
    pub poll_timeout: Duration,
    /// The nominal delay after the first failure.
    pub initial_backoff: Duration,
    /// The maximum nominal delay after consecutive failures.
    pub max_backoff: Duration,
    /// The nominal delay before the full document is requested again after one was rejected; it may have megabytes.
    pub full_refetch_after: Duration,
    /// Entries verified or committed per step. At about 1 us per entry, 256 entries take a quarter of a millisecond.
    pub entries_per_slice: usize,
}

impl Default for FollowerSettings {
    /// Returns settings that detect a broken connection within 12 s. Of the 20 s within which a change has to be in
    /// force, this leaves 8 s for a delay, the answer and its verification (docs/configuration-distribution.md).
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
