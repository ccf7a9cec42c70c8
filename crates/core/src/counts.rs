//! Counts of requests and attempts.

use lotusdeck_policy::Outcome;
use serde::Serialize;
use std::ops::AddAssign;

macro_rules! counts {
    ($($(#[$attribute:meta])* $name:ident,)*) => {
        /// Counts of requests and attempts by their outcome.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct Counts {
            $($(#[$attribute])* pub $name: u64,)*
        }

        impl AddAssign for Counts {
            fn add_assign(&mut self, other: Counts) {
                $(self.$name += other.$name;)*
            }
        }
    };
}

counts! {
    /// Requests received from clients.
    requests,
    /// Requests that were served.
    served,
    /// Requests that were rejected without effect; the client may retry.
    #[serde(rename = "refused")]
    rejected,
    /// Requests that failed, with or without effect.
    failed,
    /// Requests that the balancer had not decided by their deadline.
    timed_out,
    /// Requests whose client disconnected before the answer.
    #[serde(rename = "gone")]
    client_disconnects,
    /// Attempts that were started, whether or not they could be sent.
    attempts,
    /// Attempts that the backend rejected without processing them.
    #[serde(rename = "full")]
    attempts_rejected,
    /// Attempts answered with an error.
    #[serde(rename = "errors")]
    attempts_with_error_answer,
    /// Attempts whose connection broke.
    #[serde(rename = "resets")]
    attempts_reset,
    /// Attempts for which no connection could be established.
    #[serde(rename = "unconnected")]
    attempts_not_connected,
    /// Attempts given up before their first byte was sent.
    #[serde(rename = "unsent")]
    attempts_not_sent,
}

impl Counts {
    /// Counts an attempt that ended, by its outcome.
    pub(crate) fn count_attempt_end(&mut self, outcome: Outcome) {
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
