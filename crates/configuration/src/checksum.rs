//! A checksum over all entries of a document that a change updates without the rest being read.

use crate::document::Key;
use crate::version::Version;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// The sum, modulo 2^128, of a 128-bit hash (xxh3) of every entry.
///
/// A sum does not depend on the order of its parts, so that an entry is added or taken out by its own hash alone.
/// Order needs no cover: a document has one canonical order. It finds faults of transport, storage and programs;
/// against a source that means harm it proves nothing, as anyone can compute it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Checksum(u128);

impl Checksum {
    /// Counts an entry in.
    pub fn add(&mut self, key: &Key, value: &str) {
        self.0 = self.0.wrapping_add(hash(key, value));
    }

    /// The sum with the version counted in, as messages carry it: a document under another version's name is not the
    /// source's either, as its follower would take later ones for known.
    pub fn of_version(self, version: Version) -> Checksum {
        let mut hasher = Xxh3::new();
        hasher.update(&version.epoch.to_le_bytes());
        hasher.update(&version.number.to_le_bytes());
        Checksum(self.0.wrapping_add(hasher.digest128()))
    }

    /// Takes an entry out that was counted in before.
    pub fn subtract(&mut self, key: &Key, value: &str) {
        self.0 = self.0.wrapping_sub(hash(key, value));
    }
}

/// The name's length goes before the name, so that no part of it can pass for a part of the value.
fn hash(key: &Key, value: &str) -> u128 {
    let mut hasher = Xxh3::new();
    hasher.update(&[key.section as u8]);
    hasher.update(&(key.name.len() as u64).to_le_bytes());
    hasher.update(key.name.as_bytes());
    hasher.update(value.as_bytes());
    hasher.digest128()
}

impl fmt::Display for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A text that is no checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected a checksum of 32 hex digits")]
pub struct ChecksumError;

impl FromStr for Checksum {
    type Err = ChecksumError;

    fn from_str(text: &str) -> Result<Checksum, ChecksumError> {
        let hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let sum = u128::from_str_radix(text, 16).ok().filter(|_| hex);
        sum.map(Checksum).ok_or(ChecksumError)
    }
}
