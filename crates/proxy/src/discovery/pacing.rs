//! How long calls to discovery may take, and how soon the next one follows. The bound over all of it is in the
//! documentation of [`crate::discovery`].

use std::time::Duration;

/// Beyond its wait a call that waits may take so long before another is opened beside it. What a silent watch missed
/// counts as told 2 s after its wait, which leaves 1.5 s for the answer to the other call.
const OVERDUE: Duration = Duration::from_millis(500);
/// A call that does not wait gets another beside it after this time: the shorter, after which a lost segment would be
/// sent again, in fleets of up to a hundred proxies, and in large ones the longer, as each call costs discovery work.
const SHORTEST_GAP: Duration = Duration::from_secs(1);
const LONGEST_GAP: Duration = Duration::from_millis(1_500);
/// Part of the gap for each proxy of the fleet: between the two, all together open a hundred such calls a second.
const GAP_PER_PROXY: Duration = Duration::from_millis(10);
/// Calls that one proxy has out at once. At every gap one more is opened, and the oldest is given up after
/// [`SILENCE`], so that three keep the gaps without a hole.
pub(super) const MOST_CALLS: usize = 3;
/// A call on which nothing has come for so long is given up. It is as long as the bound allows: a crowded discovery
/// handles calls in turn, and one that is given up has waited there in vain.
pub(super) const SILENCE: Duration = Duration::from_millis(3_500);
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

/// After how long another call is opened beside one that has brought no list.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gaps(Duration);

impl Gaps {
    pub fn new(proxies: u32) -> Gaps {
        Gaps(GAP_PER_PROXY.saturating_mul(proxies).clamp(SHORTEST_GAP, LONGEST_GAP))
    }

    /// After a call without a wait was opened, or the first byte of any answer came.
    pub fn usual(self) -> Duration {
        self.0
    }

    /// After a wait was over and not a byte came.
    pub fn overdue(self) -> Duration {
        OVERDUE
    }
}

/// The pause after so many failed calls in a row, where lists are pushed.
pub(super) fn backoff(failures: u32) -> Duration {
    (BACKOFF * (1 << failures.min(4))).min(LONGEST_BACKOFF)
}

/// A place for each position of the fleet in 0 to 1, evenly spread.
pub(super) fn spread(position: u32) -> f64 {
    (f64::from(position) * GOLDEN).fract()
}
