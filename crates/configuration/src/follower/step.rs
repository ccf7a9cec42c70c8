//! What a follower tells its driver: the next step, its state, and why a poll failed or an answer was rejected.

use crate::invalid_settings::InvalidSettings;
use crate::poll::Poll;
use crate::staging::StagingError;
use crate::version::Version;
use std::time::Duration;
use thiserror::Error;

/// Why a poll got no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// The connection failed.
    #[error("no answer: {0}")]
    ConnectionFailed(String),
    /// The answer did not come in time.
    #[error("timed out")]
    TimedOut,
    /// The source has no capacity for the poll.
    #[error("the source is busy")]
    Busy,
    /// The answer is no message.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

/// Why an answer was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// A delta for another version than the one in force.
    #[error("a delta from version {from}, while {applied} is in force")]
    BaseMismatch {
        /// The version in force.
        applied: Version,
        /// The version that the delta changes.
        from: Version,
    },
    /// A delta while no version is in force.
    #[error("a delta from version {0}, while none is in force")]
    NoBase(Version),
    /// The source offers an earlier version.
    #[error("the source is at version {offered}, which is before {known}")]
    VersionRollback {
        /// The latest version that this proxy knows: in force, or rejected.
        known: Version,
        /// The source's version.
        offered: Version,
    },
    /// The source's document of the version in force differs from this proxy's.
    #[error("version {0} is in force with other content")]
    ContentConflict(Version),
    /// The version cannot be built, or its checksum does not match.
    #[error("version {version}: {error}")]
    Staging {
        /// The version that was to be built.
        version: Version,
        /// Why it cannot be built.
        #[source]
        error: StagingError,
    },
    /// The settings of the version are not valid.
    #[error("version {version}: {error}")]
    InvalidSettings {
        /// The rejected version.
        version: Version,
        /// What is wrong with its settings.
        #[source]
        error: InvalidSettings,
    },
    /// The source repeats a version that was rejected before.
    #[error("version {0} was rejected already")]
    AlreadyRejected(Version),
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send this poll, and report its end by [`handle_message`](super::Follower::handle_message) or
    /// [`poll_failed`](super::Follower::poll_failed).
    Poll(Poll),
    /// There is nothing to do before this time, or before an answer.
    Wait(Duration),
    /// Call again, at once or after other work: a slice is done, and more are left.
    Continue,
    /// Check the settings of [`candidate`](super::Follower::candidate) and report the verdict by
    /// [`candidate_validated`](super::Follower::candidate_validated).
    Validate,
    /// Put the settings of this version in force.
    Applied(Version),
    /// An answer was rejected; report it to the operators.
    Rejected(Rejection),
    /// The poll has failed; report it to the operators.
    PollFailed(Failure),
}

/// How the document in force relates to the source's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// No version is in force.
    Empty,
    /// The version in force is the source's latest, according to the last answer.
    Current,
    /// The source has a later version, which was rejected here.
    Rejecting(Version),
    /// The source does not answer, or its answers are rejected.
    Disconnected,
}

/// The state of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The version in force.
    pub applied_version: Option<Version>,
    /// How it relates to the source's.
    pub sync_state: SyncState,
    /// Upper bound of the time since the version in force was the source's latest: since the poll whose answer said so.
    pub age: Option<Duration>,
}
