//! The index of a sealed segment: hashes of the correlation ids in it, so that a query for one id reads few segments.
//!
//! The file contains the hashes (XXH3, 64 bits, little-endian) of all ids in ascending order, the sequence number of
//! the segment's last frame, and the CRC-32C of both.

#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// The length of a hash, bytes.
const HASH_LEN: usize = 8;

/// Returns the hash of a correlation id.
pub(crate) fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Encodes an index file.
pub(crate) fn encode(hashes: &BTreeSet<u64>, last_sequence: u64) -> Vec<u8> {
    let numbers = hashes.iter().chain([&last_sequence]);
    let mut bytes: Vec<u8> = numbers.flat_map(|number| number.to_le_bytes()).collect();
    let checksum = crc32c::crc32c(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// The index of a segment, which borrows the bytes of its file.
pub struct Index<'a> {
    hashes: &'a [u8],
    /// The sequence number of the segment's last frame.
    pub last_sequence: u64,
}

impl<'a> Index<'a> {
    /// Checks and opens an index. Returns `None` if it is damaged, in which case the segment must be read.
    pub fn read(bytes: &'a [u8]) -> Option<Index<'a>> {
        let (content, checksum) = bytes.split_last_chunk::<4>()?;
        let (hashes, last_sequence) = content.split_last_chunk::<8>()?;
        let is_intact =
            hashes.len() % HASH_LEN == 0 && crc32c::crc32c(content) == u32::from_le_bytes(*checksum);
        is_intact.then_some(Index { hashes, last_sequence: u64::from_le_bytes(*last_sequence) })
    }

    /// Returns whether the segment contains a record of that id or of an id with the same hash.
    pub fn contains(&self, id: &str) -> bool {
        let wanted = hash(id);
        let mut low = 0;
        let mut high = self.hashes.len() / HASH_LEN;
        while low < high {
            let middle = (low + high) / 2;
            match self.hash_at(middle).cmp(&wanted) {
                Ordering::Equal => return true,
                Ordering::Less => low = middle + 1,
                Ordering::Greater => high = middle,
            }
        }
        false
    }

    fn hash_at(&self, position: usize) -> u64 {
        let mut bytes = [0; HASH_LEN];
        let offset = position * HASH_LEN;
        bytes.copy_from_slice(&self.hashes[offset..offset + HASH_LEN]);
        u64::from_le_bytes(bytes)
    }
}
