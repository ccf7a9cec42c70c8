//! How long parts of a message may rest before the message counts as broken off.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The pauses that end an answer or a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pauses {
    /// The next byte of an answer that has begun comes so soon.
    pub answer_gap: Duration,
    /// Once a large answer is on its way to the client it may rest longer: there is no other to be had.
    pub answer_silence: Duration,
    /// A client sends no byte of its body for so long: with a head's time under the 3 s that any client is owed.
    pub upload_stall: Duration,
    /// A backend that takes no byte of a request's body for so long has gone.
    pub upload_unread: Duration,
}

impl Default for Pauses {
    fn default() -> Pauses {
        Pauses {
            answer_gap: Duration::from_millis(300),
            answer_silence: Duration::from_secs(10),
            upload_stall: Duration::from_millis(1500),
            upload_unread: Duration::from_secs(3),
        }
    }
}

/// The pauses in force; whoever holds a copy sees a change at once.
pub type Shared = Rc<Cell<Pauses>>;
