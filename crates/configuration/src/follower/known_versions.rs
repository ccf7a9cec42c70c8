//! The versions that a follower has applied or rejected, and the check of a delta against them.

use super::step::Rejection;
use crate::delta::Delta;
use crate::version::Version;

/// The latest versions that a follower has applied and rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownVersions {
    /// The version in force.
    pub(super) applied: Option<Version>,
    /// The last version that was rejected for invalid settings.
    pub(super) rejected: Option<Version>,
}

impl KnownVersions {
    /// Returns the later of the applied and the rejected version.
    pub(super) fn latest(&self) -> Option<Version> {
        self.applied.max(self.rejected)
    }

    /// Returns the rejected version if it is later than the one in force.
    pub(super) fn newer_rejected(&self) -> Option<Version> {
        self.rejected.filter(|rejected| self.applied.is_none_or(|applied| *rejected > applied))
    }

    /// Returns whether `version` or a later one was rejected.
    pub(super) fn is_rejected(&self, version: Version) -> bool {
        self.rejected.is_some_and(|rejected| version <= rejected)
    }

    /// Checks that a delta applies to the version in force and results in a later version of the same epoch that was
    /// not rejected.
    pub(super) fn check_delta(&self, delta: &Delta) -> Result<(), Rejection> {
        let Some(applied) = self.applied else {
            return Err(Rejection::NoBase(delta.from));
        };
        if applied != delta.from {
            return Err(Rejection::BaseMismatch { applied, from: delta.from });
        }
        if delta.to <= applied || delta.to.epoch != applied.epoch {
            return Err(Rejection::VersionRollback { known: applied, offered: delta.to });
        }
        if self.is_rejected(delta.to) {
            return Err(Rejection::AlreadyRejected(delta.to));
        }
        Ok(())
    }
}
