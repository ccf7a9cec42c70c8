//! A checksum over all entries of a document, updated incrementally without reading the unchanged entries.

use crate::entry::Key;
use crate::version::Version;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Number of hexadecimal digits in the text of a checksum: 128 bits of four bits per digit.
const HEX_DIGITS: usize = 32;

/// The sum, modulo 2^128, of a 128-bit hash (xxh3) of every entry.
///
/// A sum does not depend on the order of its terms, so an entry is added or removed using its own hash alone. The order
/// needs no protection, as a document has a single canonical order. The checksum detects faults of transport, storage
/// and programs. It does not authenticate the source, as anyone can compute it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Checksum(u128);

impl Checksum {
    /// Adds an entry.
    pub fn add(&mut self, key: &Key, value: &str) {
        self.0 = self.0.wrapping_add(entry_hash(key, value));
    }

    /// Removes an entry that was added before.
    pub fn subtract(&mut self, key: &Key, value: &str) {
        self.0 = self.0.wrapping_sub(entry_hash(key, value));
    }

    /// Returns the checksum sent in messages, which includes the version: with a wrong version, a follower would treat
    /// later versions as already known.
    pub fn with_version(self, version: Version) -> Checksum {
        let mut hasher = Xxh3::new();
        hasher.update(&version.epoch.to_le_bytes());
        hasher.update(&version.number.to_le_bytes());
        Checksum(self.0.wrapping_add(hasher.digest128()))
    }
}

/// Hashes an entry. The length of the name comes before the name, which keeps name and value distinct.
fn entry_hash(key: &Key, value: &str) -> u128 {
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

/// The error for a text that is not a checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected a checksum of {HEX_DIGITS} hex digits")]
pub struct ChecksumError;

impl FromStr for Checksum {
    type Err = ChecksumError;

    fn from_str(text: &str) -> Result<Checksum, ChecksumError> {
        // `from_str_radix` alone accepts a leading sign.
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != HEX_DIGITS || !is_hex {
            return Err(ChecksumError);
        }
        u128::from_str_radix(text, 16).map(Checksum).map_err(|_| ChecksumError)
    }
}
