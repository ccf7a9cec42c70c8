//! Versions of the document.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The epoch of a source and a number within it; a later version is greater.
///
/// A source that starts without its history chooses an epoch greater than every epoch before, for example the Unix time
/// of that start in milliseconds. Within an epoch the number rises by one with every version and never falls: a change
/// is reverted by publishing a later version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Identifies the source's start without history.
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

/// A text that is no version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected a version as EPOCH-NUMBER, got {0:?}")]
pub struct VersionError(String);

/// Characters of an invalid text that an error quotes: two numbers of full length, and a few more.
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
