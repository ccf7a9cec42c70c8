//! Which state of the document is meant.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The epoch of a source and a number within it; a later version is greater.
///
/// The epoch is chosen by the source when it begins without its history and is greater than every epoch before, as
/// the Unix time of that start in milliseconds is. Within an epoch the number rises by one with every version and never
/// falls: what a version changed is taken back by a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// When the source began.
    pub epoch: u64,
    /// Counts the versions of that epoch from 1.
    pub number: u64,
}

impl Version {
    /// The first version of an epoch.
    pub fn first(epoch: u64) -> Version {
        Version { epoch, number: 1 }
    }

    /// The version after this one.
    pub fn next(self) -> Version {
        Version { number: self.number + 1, ..self }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.epoch, self.number)
    }
}

/// A text that names no version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected a version as EPOCH-NUMBER, got {0:?}")]
pub struct VersionError(String);

impl FromStr for Version {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Version, VersionError> {
        let parts = text.split_once('-').and_then(|(epoch, number)| {
            let (epoch, number) = (epoch.parse().ok()?, number.parse().ok()?);
            Some(Version { epoch, number })
        });
        parts.ok_or_else(|| VersionError(text.chars().take(MOST_QUOTED).collect()))
    }
}

/// Characters of a wrong text that an error repeats: both numbers at their longest, and some more.
const MOST_QUOTED: usize = 48;
