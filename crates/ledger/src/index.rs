//! The index of a sealed segment: which ids it holds, so that a question about one reads few segments.
//!
//! The hashes (XXH3, 64 bits, little-endian) of all ids in rising order, the sequence number of the segment's last
//! frame, and the CRC-32C of all that.

use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// The hash by which an id is found.
pub(crate) fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// The index file's bytes.
pub(crate) fn encode(hashes: &BTreeSet<u64>, last: u64) -> Vec<u8> {
    let mut out: Vec<u8> = hashes.iter().chain([&last]).flat_map(|h| h.to_le_bytes()).collect();
    let sum = crc32c::crc32c(&out);
    out.extend_from_slice(&sum.to_le_bytes());
    out
}

/// An index that was read and is whole.
pub struct Index<'a> {
    hashes: &'a [u8],
    /// The sequence number of the segment's last frame.
    pub last: u64,
}

impl<'a> Index<'a> {
    /// `None` where the index is damaged and the segment has to be read.
    pub fn read(bytes: &'a [u8]) -> Option<Index<'a>> {
        let (all, sum) = bytes.split_last_chunk::<4>()?;
        let (hashes, last) = all.split_last_chunk::<8>()?;
        let whole = hashes.len() % 8 == 0 && crc32c::crc32c(all) == u32::from_le_bytes(*sum);
        whole.then_some(Index { hashes, last: u64::from_le_bytes(*last) })
    }

    /// Whether the segment holds a record of that id, or of one with the same hash.
    pub fn contains(&self, id: &str) -> bool {
        let (mut low, mut high, wanted) = (0, self.hashes.len() / 8, hash(id));
        while low < high {
            let middle = (low + high) / 2;
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&self.hashes[middle * 8..middle * 8 + 8]);
            match u64::from_le_bytes(bytes).cmp(&wanted) {
                std::cmp::Ordering::Equal => return true,
                std::cmp::Ordering::Less => low = middle + 1,
                std::cmp::Ordering::Greater => high = middle,
            }
        }
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_are_found_and_damage_is_no_answer() {
        let ids: Vec<String> = (0..100).map(|i| format!("id-{i}")).collect();
        let mut bytes = encode(&ids.iter().map(|i| hash(i)).collect(), 77);
        let index = Index::read(&bytes).unwrap();
        assert!(ids.iter().all(|id| index.contains(id)) && !index.contains("another") && index.last == 77);
        bytes[9] ^= 4;
        assert!(Index::read(&bytes).is_none() && Index::read(&bytes[..7]).is_none());
    }
}
