//! How long calls to discovery may take, and how soon the next one follows. The bound over all of it is in the
//! documentation of [`crate::discovery`].

use std::time::Duration;

/// Beyond its wait a call that waits may take so long before another is opened beside it. What a silent watch missed
/// counts as told 2 s after its wait, which leaves 1.5 s for the answer to the other call.
pub(super) const OVERDUE: Duration = Duration::from_millis(500);
/// An answer that has begun and is not whole gets another call beside it after this time.
pub(super) const GAP: Duration = Duration::from_millis(1_500);
/// Calls that one proxy has out at once: one that is overdue or unfinished, and others beside it until it is given up.
pub(super) const MOST_CALLS: usize = 3;
/// A call on which nothing has come for so long is given up. What a silent discovery missed counts as told 6 s after it
/// fell silent, so that another call, and the pause before it, are over by then.
pub(super) const SILENCE: Duration = Duration::from_secs(2);
/// A call may take so long beyond its wait, whatever comes on it: longer ones only trickle. At this size a list comes
/// at 1 MiB/s.
pub(super) const LONGEST_CALL: Duration = Duration::from_secs(20);
/// A connection that is not up by then will hardly come: a lost segment is sent again after 1 s.
pub(super) const CONNECT: Duration = Duration::from_secs(1);
/// Pause after a failed call where lists are pushed; it doubles with each in a row, up to the longest. What the agent
/// gets when discovery is back counts as told at once, so that the longest is well inside the shortest grace that the
/// settings have named (400 ms). Where lists are asked for, the module says when to ask again.
const BACKOFF: Duration = Duration::from_millis(25);
const LONGEST_BACKOFF: Duration = Duration::from_millis(200);
/// Multiples of it, whole parts left out, lie evenly spread however many there are (Kronecker's sequence).
const GOLDEN: f64 = 0.618_033_988_749_895;

/// The pause after so many failed calls in a row, where lists are pushed.
pub(super) fn backoff(failures: u32) -> Duration {
    (BACKOFF * (1 << failures.min(4))).min(LONGEST_BACKOFF)
}

/// A place for each position of the fleet in 0 to 1, evenly spread.
pub(super) fn spread(position: u32) -> f64 {
    (f64::from(position) * GOLDEN).fract()
}
