//! A follower's request to the source for a later version.

use crate::version::Version;
use std::time::Duration;

/// A long poll: the source answers when it has a later version, or when the wait ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The version in force, to which a delta has to apply; `None` requests the full document.
    pub after: Option<Version>,
    /// A version later than the one in force that the follower rejected; the source does not send it again.
    pub rejected_version: Option<Version>,
    /// How long the source may hold the poll before it answers.
    pub wait: Duration,
}
