//! A follower's request to the source for a later version.

use crate::version::Version;
use std::time::Duration;

/// A long poll: the source answers it once there is something later, or when its wait is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The version in force, which deltas are to be based on; `None` requests the full document.
    pub after: Option<Version>,
    /// A version that this follower rejected: only a later one is an answer.
    pub rejected_version: Option<Version>,
    /// How long the source may defer its answer.
    pub wait: Duration,
}
