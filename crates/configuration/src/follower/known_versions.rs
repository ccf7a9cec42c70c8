//! The versions that a follower has decided on, and the deltas that fit them.

use super::step::Rejection;
use crate::delta::Delta;
use crate::version::Version;

/// The versions that a follower has decided on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownVersions {
    /// The version in force.
    pub(super) applied: Option<Version>,
    /// The latest version whose settings were not valid.
    pub(super) rejected: Option<Version>,
}

impl KnownVersions {
    /// The latest of them.
    pub(super) fn latest(&self) -> Option<Version> {
        self.applied.max(self.rejected)
    }

    /// The rejected version, where it is later than the one in force.
    pub(super) fn newer_rejected(&self) -> Option<Version> {
        self.rejected.filter(|rejected| self.applied.is_none_or(|applied| *rejected > applied))
    }

    /// Whether this version, or a later one, was rejected.
    pub(super) fn is_rejected(&self, version: Version) -> bool {
        self.rejected.is_some_and(|rejected| version <= rejected)
    }

    /// Checks that a delta leads from the version in force to a later one that was not rejected.
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
