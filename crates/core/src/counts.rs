//! Counts of what happened, since the last line about it and in all.

use lotusdeck_policy::Outcome;
use serde::Serialize;
use std::ops::AddAssign;

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// What happened.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct Counts {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl AddAssign for Counts {
            fn add_assign(&mut self, other: Counts) {
                $(self.$name += other.$name;)*
            }
        }
    };
}

counts! {
    /// Taken from clients.
    requests,
    /// Final answers: served.
    served,
    /// Refused, harmless to repeat.
    #[serde(rename = "refused")]
    rejected,
    /// Failed, nothing promised.
    failed,
    /// The module stayed silent to the deadline.
    timed_out,
    /// The client left first.
    #[serde(rename = "gone")]
    client_disconnects,
    /// Sent to backends.
    attempts,
    /// Turned away unseen.
    #[serde(rename = "full")]
    attempts_rejected,
    /// Answered with an error.
    #[serde(rename = "errors")]
    attempts_with_error_answer,
    /// Broken off.
    #[serde(rename = "resets")]
    attempts_reset,
    /// No connection came up.
    #[serde(rename = "unconnected")]
    attempts_not_connected,
    /// Given up before the first byte.
    #[serde(rename = "unsent")]
    attempts_not_sent,
}

impl Counts {
    /// An attempt ended.
    pub fn count_attempt_end(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Rejected => self.attempts_rejected += 1,
            Outcome::Error => self.attempts_with_error_answer += 1,
            Outcome::Reset => self.attempts_reset += 1,
            Outcome::ConnectFailed => self.attempts_not_connected += 1,
            Outcome::NeverSent => self.attempts_not_sent += 1,
            Outcome::Success | Outcome::TimedOut | Outcome::Cancelled => {}
        }
    }
}
