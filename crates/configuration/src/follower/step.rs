//! The types that a follower returns to its driver: the next step, the status, and the reasons of failed polls and
//! rejected answers.

use crate::invalid_settings::InvalidSettings;
use crate::poll::Poll;
use crate::staging::StagingError;
use crate::version::Version;
use std::time::Duration;
use thiserror::Error;

/// The reason why a poll failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// The connection failed.
    #[error("no answer: {0}")]
    ConnectionFailed(String),
    /// The answer did not arrive in time.
    #[error("timed out")]
    TimedOut,
    /// The source has no capacity for the poll.
    #[error("the source is busy")]
    Busy,
    /// The answer is not a valid message.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

/// The reason why an answer was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The delta applies to a different version than the one in force.
    #[error("a delta from version {from}, while {applied} is in force")]
    BaseMismatch {
        /// The version in force.
        applied: Version,
        /// The version to which the delta applies.
        from: Version,
    },
    /// A delta was received while no version is in force.
    #[error("a delta from version {0}, while none is in force")]
    NoBase(Version),
    /// The source offers an earlier version than this proxy knows, or a delta that does not result in a later version
    /// of the same epoch.
    #[error("the source is at version {offered}, which is before {known}")]
    VersionRollback {
        /// The version in force, or a later one that this proxy rejected.
        known: Version,
        /// The version that the source offers.
        offered: Version,
    },
    /// The source's document of the version in force differs from this proxy's.
    #[error("version {0} is in force with different content")]
    ContentConflict(Version),
    /// The version cannot be built, or its checksum does not match.
    #[error("version {version}: {error}")]
    Staging {
        /// The rejected version.
        version: Version,
        /// The reason why it cannot be built.
        #[source]
        error: StagingError,
    },
    /// The settings of the version are not valid.
    #[error("version {version}: {error}")]
    InvalidSettings {
        /// The rejected version.
        version: Version,
        /// The reason why its settings are not valid.
        #[source]
        error: InvalidSettings,
    },
    /// The source sent a version that was rejected before, or an earlier one.
    #[error("version {0} was already rejected")]
    AlreadyRejected(Version),
}

/// What the driver has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send this poll, and report its result with [`handle_message`](super::Follower::handle_message),
    /// [`poll_failed`](super::Follower::poll_failed) or [`poll_abandoned`](super::Follower::poll_abandoned).
    Poll(Poll),
    /// Wait until this time, or until the answer arrives.
    Wait(Duration),
    /// Call [`next_step`](super::Follower::next_step) again, immediately or after other work: a slice is done, and work
    /// remains.
    Continue,
    /// Check the settings of [`candidate`](super::Follower::candidate) and report the result with
    /// [`candidate_validated`](super::Follower::candidate_validated).
    Validate,
    /// Apply the settings of this version, which is now in force.
    Applied(Version),
    /// Report to the operators that an answer was rejected.
    Rejected(Rejection),
    /// Report to the operators that the poll failed.
    PollFailed(Failure),
}

/// How the document in force relates to the source's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// No version is in force.
    Empty,
    /// The version in force is the source's latest, according to the last answer.
    Current,
    /// The source has a later version, which this proxy rejected for invalid settings.
    Rejecting(Version),
    /// The last poll failed, or its answer was not usable for a reason other than invalid settings.
    Disconnected,
}

/// The status of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The version in force.
    pub applied_version: Option<Version>,
    /// How the document in force relates to the source's.
    pub sync_state: SyncState,
    /// Upper bound on the time since the version in force was the source's latest: the time since sending the last poll
    /// whose answer delivered or confirmed that version. `None` before the first such answer.
    pub age: Option<Duration>,
}
