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
    refused,
    /// Failed, nothing promised.
    failed,
    /// The module stayed silent to the deadline.
    timed_out,
    /// The client left first.
    gone,
    /// Sent to backends.
    attempts,
    /// Turned away unseen.
    full,
    /// Answered with an error.
    errors,
    /// Broken off.
    resets,
    /// No connection came up.
    unconnected,
    /// Given up before the first byte.
    unsent,
}

impl Counts {
    /// An attempt ended.
    pub fn ended(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Rejected => self.full += 1,
            Outcome::Error => self.errors += 1,
            Outcome::Reset => self.resets += 1,
            Outcome::ConnectFailed => self.unconnected += 1,
            Outcome::NeverSent => self.unsent += 1,
            Outcome::Success | Outcome::TimedOut | Outcome::Cancelled => {}
        }
    }
}
