//! The pauses within a message that have consequences.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The pauses that have consequences for an answer or a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallTimeouts {
    /// Between two bytes of an answer that has begun: after that its request is sent elsewhere if it may be repeated.
    pub answer_pause: Duration,
    /// The same, after which its backend counts as silent for good once the client's time is over.
    pub answer_silence: Duration,
    /// The same once a large answer is being sent to the client, which is cut off then: longer, as no other answer can
    /// replace it.
    pub relayed_answer_stall: Duration,
    /// Between two bytes of a client's body: below the 3 s within which every client must get an answer, to leave
    /// time for the head. Less where connections or memory are scarce.
    pub upload_stall: Duration,
    /// Between two bytes of a request's body that a backend reads: after that its connection counts as broken.
    pub backend_stall: Duration,
}

impl Default for StallTimeouts {
    fn default() -> StallTimeouts {
        StallTimeouts {
            answer_pause: Duration::from_millis(300),
            answer_silence: Duration::from_millis(1500),
            relayed_answer_stall: Duration::from_secs(10),
            upload_stall: Duration::from_millis(2500),
            backend_stall: Duration::from_secs(3),
        }
    }
}

/// The active timeouts. A change is visible to all clones at once.
pub type SharedStallTimeouts = Rc<Cell<StallTimeouts>>;

/// Waits until `count`, a number of bytes transferred, has not changed for `timeout`. Returns between `timeout` and
/// twice that time after the last change.
pub(crate) async fn wait_for_stall(timeout: Duration, count: impl Fn() -> u64) {
    let mut last_count = count();
    loop {
        tokio::time::sleep(timeout).await;
        let new_count = count();
        if new_count == last_count {
            return;
        }
        last_count = new_count;
    }
}
