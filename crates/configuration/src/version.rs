//! Versions of the document.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The epoch of a source and a number within that epoch; later versions compare greater.
///
/// A source that starts without its history chooses an epoch greater than all earlier ones, for example the Unix time
/// of its start in milliseconds. Within an epoch the number increases by one with each version and never decreases: a
/// change is reverted by publishing a later version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Identifies the start of the source without history.
    pub epoch: u64,
    /// Number of the version within its epoch, starting at 1.
    pub number: u64,
}

impl Version {
    /// Returns the first version of an epoch.
    pub fn first(epoch: u64) -> Version {
        Version { epoch, number: 1 }
    }

    /// Returns the version that follows this one in the same epoch.
    pub fn next(self) -> Version {
        Version { number: self.number + 1, ..self }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.epoch, self.number)
    }
}

/// The error for a text that is not a version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected a version as EPOCH-NUMBER, got {0:?}")]
pub struct VersionError(String);

/// Maximum characters of an invalid text in an error message: two `u64` numbers of full length and a few more.
const MAX_QUOTED_CHARS: usize = 48;

impl FromStr for Version {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Version, VersionError> {
        parse(text).ok_or_else(|| VersionError(text.chars().take(MAX_QUOTED_CHARS).collect()))
    }
}

fn parse(text: &str) -> Option<Version> {
    let (epoch, number) = text.split_once('-')?;
    Some(Version { epoch: epoch.parse().ok()?, number: number.parse().ok()? })
}
