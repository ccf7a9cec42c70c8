//! How long parts of a message may pause before the message counts as broken off.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The pauses that end an answer or a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallTimeouts {
    /// Between two bytes of an answer that has begun.
    pub answer_stall: Duration,
    /// The same once a large answer is on its way to the client: it may pause longer, as there is no other to be had.
    pub relayed_answer_stall: Duration,
    /// Between two bytes of a client's body: with a head's time under the 3 s that any client is owed.
    pub upload_stall: Duration,
    /// Between two bytes of a request's body that a backend takes: after that it has gone.
    pub backend_stall: Duration,
}

impl Default for StallTimeouts {
    fn default() -> StallTimeouts {
        StallTimeouts {
            answer_stall: Duration::from_millis(300),
            relayed_answer_stall: Duration::from_secs(10),
            upload_stall: Duration::from_millis(1500),
            backend_stall: Duration::from_secs(3),
        }
    }
}

/// The timeouts in force; whoever holds a copy sees a change at once.
pub type SharedStallTimeouts = Rc<Cell<StallTimeouts>>;

/// Ends when `count`, of bytes that have moved, has not changed for so long.
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
