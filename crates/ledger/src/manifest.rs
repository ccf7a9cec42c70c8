//! The manifest of a folder: which segments were created in it and which were deleted by retention. It shows a reader
//! that segments are absent, even if all segments of a generation are.
//!
//! The file contains a magic number, the version and length of the body, the body's CRC-32C, and the body in postcard's
//! format. It is replaced as a whole. Its size is bounded by the number of generations that have segments in the folder,
//! and by [`MAX_LOST_GENERATIONS`].

#[cfg(test)]
mod tests;

use crate::options::Options;
use crate::record::Millis;
use crate::segment_name::SegmentName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The version of the manifest format that this program writes.
const VERSION: u16 = 1;
const MAGIC: &[u8; 8] = b"LDLEDMAN";
/// Bytes before the body: magic, version, length, CRC-32C.
const PREFIX_LEN: usize = 18;
/// The maximum number of listed generations whose segments are all absent for an unknown reason.
const MAX_LOST_GENERATIONS: usize = 1024;

/// The entry of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GenerationEntry {
    /// The start time of its process.
    pub(crate) started_at: Millis,
    /// The size that is reserved for each of its segments, bytes.
    pub(crate) segment_bytes: u64,
    /// The number of its newest segment. It is listed before the segment's first frame is written.
    pub(crate) newest_segment: u32,
    /// The number of its oldest segment that retention has not deleted. It is listed before a segment is deleted.
    pub(crate) oldest_kept: u32,
    /// The sequence number of its last record, once its process has shut down gracefully.
    pub(crate) last_sequence: Option<u64>,
}

impl GenerationEntry {
    /// Returns whether retention has deleted the newest segment, and thereby all of them.
    pub(crate) fn is_dropped(&self) -> bool {
        self.oldest_kept > self.newest_segment
    }

    /// Combines two entries of the same generation, from different copies of its folder.
    pub(crate) fn merge(&mut self, other: &GenerationEntry) {
        self.newest_segment = self.newest_segment.max(other.newest_segment);
        self.oldest_kept = self.oldest_kept.max(other.oldest_kept);
        self.last_sequence = self.last_sequence.max(other.last_sequence);
    }
}

/// The content of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Manifest {
    /// The time at which the folder's first manifest was written.
    pub(crate) started_at: Millis,
    /// Whether the folder may have contained records that no manifest lists.
    pub(crate) has_unlisted_records: bool,
    /// The number of generations no longer listed because retention deleted all of their segments.
    pub(crate) dropped_generations: u64,
    /// The number of generations no longer listed whose segments disappeared for another reason.
    pub(crate) lost_generations: u64,
    /// The generations that are listed, by id.
    pub(crate) generations: BTreeMap<u64, GenerationEntry>,
}

impl Manifest {
    /// Creates a manifest that lists nothing.
    pub(crate) fn new(started_at: Millis, has_unlisted_records: bool) -> Manifest {
        Manifest {
            started_at,
            has_unlisted_records,
            dropped_generations: 0,
            lost_generations: 0,
            generations: BTreeMap::new(),
        }
    }

    /// Lists a segment of a running process.
    pub(crate) fn add_segment(&mut self, name: SegmentName, started_at: Millis, segment_bytes: u64) {
        let entry = self.generations.entry(name.generation).or_insert(GenerationEntry {
            started_at,
            segment_bytes,
            newest_segment: name.number,
            oldest_kept: 0,
            last_sequence: None,
        });
        entry.newest_segment = entry.newest_segment.max(name.number);
    }

    /// Records that retention is about to delete a segment.
    pub(crate) fn drop_segment(&mut self, name: SegmentName, may_have_frames: bool) {
        match self.generations.get_mut(&name.generation) {
            Some(entry) => entry.oldest_kept = entry.oldest_kept.max(name.number + 1),
            None => self.has_unlisted_records |= may_have_frames,
        }
    }

    /// Records that a process has shut down gracefully.
    pub(crate) fn close(&mut self, generation: u64, last_sequence: u64) {
        if let Some(entry) = self.generations.get_mut(&generation) {
            entry.last_sequence = Some(last_sequence);
        }
    }

    /// Replaces the entries of generations that have no segment in the folder by counts, so that the manifest's size
    /// stays bounded. The entry of a generation whose segments are absent for an unknown reason stays until its records
    /// would be too old to be kept.
    pub(crate) fn forget_absent(&mut self, present: &BTreeSet<u64>, options: &Options, now: Millis) {
        let before = self.generations.len();
        self.generations.retain(|id, entry| present.contains(id) || !entry.is_dropped());
        self.dropped_generations += (before - self.generations.len()) as u64;

        // Ids are in the order of the start times, so the last ones are the newest.
        let absent = self.generations.keys().rev().filter(|id| !present.contains(id));
        let surplus: BTreeSet<u64> = absent.skip(MAX_LOST_GENERATIONS).copied().collect();
        let before = self.generations.len();
        self.generations.retain(|id, entry| {
            let is_expired = now.saturating_sub(entry.started_at) >= options.keep_unresolved;
            present.contains(id) || !is_expired && !surplus.contains(id)
        });
        self.lost_generations += (before - self.generations.len()) as u64;
    }

    /// Encodes the manifest.
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Serializing numbers to memory cannot fail.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(PREFIX_LEN + body.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }
}

/// The manifest as found in a folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StoredManifest {
    /// There is none.
    Absent,
    /// A manifest of this format version.
    Intact(Manifest),
    /// A manifest of a later format version.
    Newer(u16),
    /// It cannot be decoded.
    Damaged,
}

impl StoredManifest {
    /// Decodes a manifest, whatever the bytes are.
    pub(crate) fn decode(bytes: &[u8]) -> StoredManifest {
        let Some((prefix, body)) = bytes.split_first_chunk::<PREFIX_LEN>() else {
            return StoredManifest::Damaged;
        };
        if !prefix.starts_with(MAGIC) {
            return StoredManifest::Damaged;
        }
        let version = u16::from_le_bytes([prefix[8], prefix[9]]);
        if version > VERSION {
            return StoredManifest::Newer(version);
        }
        let length = u32::from_le_bytes([prefix[10], prefix[11], prefix[12], prefix[13]]);
        let checksum = u32::from_le_bytes([prefix[14], prefix[15], prefix[16], prefix[17]]);
        if version != VERSION || body.len() != length as usize || crc32c::crc32c(body) != checksum {
            return StoredManifest::Damaged;
        }
        postcard::from_bytes(body).map_or(StoredManifest::Damaged, StoredManifest::Intact)
    }
}
