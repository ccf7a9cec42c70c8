//! How long polls of discovery may take, and how soon the next one follows. The bound over all of it is in the
//! documentation of [`crate::discovery`].

use std::time::Duration;

/// How long one poll lets discovery wait for changes.
pub(super) const LONG_POLL_WAIT: Duration = Duration::from_secs(10);
/// A long poll that has no answer so long after its wait gets another poll in parallel. What a silent watch missed
/// counts as notified 2 s after its wait, which leaves 1.5 s for the answer to the other poll.
pub(super) const OVERDUE_AFTER: Duration = Duration::from_millis(500);
/// An answer that has begun and is not complete gets another poll in parallel after this time.
pub(super) const EXTRA_POLL_DELAY: Duration = Duration::from_millis(1_500);
/// A poll without a wait on which nothing has come for so long gets another one in parallel.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// An answer that has begun and on which nothing more has come for so long is given up.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time from the opening of one poll to that of another in parallel to older ones at least, also where the first of
/// the two has failed at once.
pub(super) const MIN_POLL_SPACING: Duration = Duration::from_secs(1);
/// Polls that one proxy has in flight at most: the oldest, which keeps its turn, and the two newest, so that each of
/// these has twice `SILENCE_TIMEOUT` for its answer.
pub(super) const MAX_POLLS_IN_FLIGHT: usize = 3;
/// An answer may take so long from its beginning on: the largest list comes in this time at 1 MiB/s.
pub(super) const MAX_ANSWER_TIME: Duration = Duration::from_secs(20);
/// A poll may wait so long for its turn, beyond the wait that it allows: 900 proxies have theirs in 45 s at a discovery
/// that takes 50 ms for each.
pub(super) const MAX_QUEUE_TIME: Duration = Duration::from_secs(60);
/// A connection that is not up by then will hardly come: a lost segment is sent again after 1 s.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The backoff after a failed poll where lists are pushed; it doubles with each failure in a row, up to the longest.
/// What the agent gets when discovery is back counts as notified at once, so that the longest is well inside the
/// shortest grace that the settings have named (400 ms). Where lists are polled, the policy says when to poll again.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// The fractional parts of its multiples lie evenly spread however many there are (Kronecker's sequence).
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The backoff after so many failed polls in a row, where lists are pushed.
pub(super) fn backoff(failures: u32) -> Duration {
    (INITIAL_BACKOFF * (1 << failures.min(4))).min(MAX_BACKOFF)
}

/// A place from 0 to 1 for each position in the fleet, evenly spread.
pub(super) fn spread(position: u32) -> f64 {
    (f64::from(position) * GOLDEN_RATIO).fract()
}
