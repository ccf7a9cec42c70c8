//! Time limits of discovery polls and the delays between them. The documentation of [`crate::discovery`] derives the
//! overall bound from them.

use std::time::Duration;

/// How long a long poll lets discovery wait for changes.
pub(super) const LONG_POLL_WAIT: Duration = Duration::from_secs(10);
/// Time after its wait at which a long poll without an answer gets another poll in parallel. Changes that a silent
/// watch missed count as notified 2 s after its wait, which leaves 1.5 s for the answer to the other poll.
pub(super) const OVERDUE_AFTER: Duration = Duration::from_millis(500);
/// Time after which a poll whose answer has begun but is not complete gets another poll in parallel.
pub(super) const EXTRA_POLL_DELAY: Duration = Duration::from_millis(1_500);
/// Time after which a poll without a wait on which nothing was received gets another poll in parallel.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest pause within an answer before its poll is given up.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest time between opening a poll and opening another one in parallel to older polls, even if the first of the
/// two failed at once.
pub(super) const MIN_POLL_SPACING: Duration = Duration::from_secs(1);
/// Maximum number of polls that one proxy has in flight: the oldest, which keeps its place in discovery's queue, and
/// the two newest, so that each of these has twice `SILENCE_TIMEOUT` for its answer.
pub(super) const MAX_POLLS_IN_FLIGHT: usize = 3;
/// Longest time from the beginning of an answer to its end: the largest list arrives within this time at 1 MiB/s.
pub(super) const MAX_ANSWER_TIME: Duration = Duration::from_secs(20);
/// Longest time that a poll may be queued at discovery, beyond the wait that it allows: a discovery that takes 50 ms
/// for each poll serves 900 proxies in 45 s.
pub(super) const MAX_QUEUE_TIME: Duration = Duration::from_secs(60);
/// Time limit for establishing a connection. A lost segment is retransmitted only after 1 s, so a longer wait would
/// hardly help.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which the policy is waited for to request a poll. Its own pauses end after 1.2 s.
pub(super) const MAX_REQUEST_WAIT: Duration = Duration::from_millis(1_300);
/// Half of the first backoff after a failed poll if lists are pushed; the backoff doubles with each consecutive
/// failure, up to `MAX_BACKOFF`. Changes that the agent receives once discovery is back count as notified at once, so
/// the longest backoff is well below the shortest grace period seen in settings (400 ms). If lists are polled, the
/// policy decides when to poll again.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// The fractional parts of its multiples are evenly spread for any number of them (Kronecker sequence).
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Returns the backoff after `failures` consecutive failed polls, if lists are pushed.
pub(super) fn backoff(failures: u32) -> Duration {
    (INITIAL_BACKOFF * (1 << failures.min(4))).min(MAX_BACKOFF)
}

/// Returns a number from 0 to 1 for a position in the fleet; the numbers of all positions are evenly spread.
pub(super) fn evenly_spread(position: u32) -> f64 {
    (f64::from(position) * GOLDEN_RATIO).fract()
}
