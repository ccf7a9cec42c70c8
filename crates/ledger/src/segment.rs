//! Segments: files that consist of a header and frames. A reader finds every intact frame, even after damaged bytes,
//! and reports the byte ranges that may have contained others.

use crate::frame::{decode, DecodeError, Frame, FrameHeader, FRAME_HEADER_LEN, MAX_RECORD_LEN};
use crate::record::Millis;
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// The version of the segment format that this program writes.
pub const VERSION: u16 = 1;
/// The length of the segment header in bytes. The first frame follows it.
pub const SEGMENT_HEADER_LEN: usize = 256;
const MAGIC: &[u8; 8] = b"LDLEDGER";
/// Bytes before the postcard part of the header: magic, version, length, CRC-32C.
const HEADER_PREFIX_LEN: usize = 16;
/// After damage, a frame is accepted only if its sequence number exceeds that of the last frame by less than this.
const MAX_SEQUENCE_JUMP: u64 = 1 << 24;

/// The header of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// The proxy's name.
    pub proxy: String,
    /// The id of the generation, which is one run of one process.
    pub generation: u64,
    /// The start time of that process.
    pub started_at: Millis,
    /// The number of the segment within the generation, from 0.
    pub number: u32,
    /// The sequence number of the segment's first frame.
    pub first_sequence: u64,
    /// Whether requests may be sent while no record can be written.
    pub sends_unrecorded: bool,
}

impl SegmentHeader {
    /// Encodes the header, padded with zeros to [`SEGMENT_HEADER_LEN`] bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing numbers and strings to memory cannot fail.
        let mut body = postcard::to_allocvec(self).unwrap_or_default();
        body.truncate(SEGMENT_HEADER_LEN - HEADER_PREFIX_LEN); // it fits: `Options::new` truncates the proxy's name
        let mut bytes = Vec::with_capacity(SEGMENT_HEADER_LEN);
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&(body.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes.resize(SEGMENT_HEADER_LEN, 0);
        bytes
    }
}

/// The kind of a segment file according to its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentKind {
    /// A segment of this format version.
    Segment(SegmentHeader),
    /// A segment of a later format version.
    Newer(u16),
    /// The file was created and never written: it contained no frame.
    Blank,
    /// The header cannot be decoded.
    Damaged,
}

impl SegmentKind {
    fn of(bytes: &[u8]) -> SegmentKind {
        if bytes.iter().all(|byte| *byte == 0) {
            return SegmentKind::Blank;
        }
        let Some(prefix) = bytes.get(..HEADER_PREFIX_LEN).filter(|prefix| prefix.starts_with(MAGIC)) else {
            return SegmentKind::Damaged;
        };
        let version = u16::from_le_bytes([prefix[8], prefix[9]]);
        if version > VERSION {
            return SegmentKind::Newer(version);
        }
        let length = usize::from(u16::from_le_bytes([prefix[10], prefix[11]]));
        let checksum = u32::from_le_bytes([prefix[12], prefix[13], prefix[14], prefix[15]]);
        let end = HEADER_PREFIX_LEN + length;
        let body = bytes.get(HEADER_PREFIX_LEN..end).filter(|_| end <= SEGMENT_HEADER_LEN);
        let Some(body) = body.filter(|body| crc32c::crc32c(body) == checksum) else {
            return SegmentKind::Damaged;
        };
        match postcard::from_bytes(body) {
            Ok(header) => SegmentKind::Segment(header),
            Err(_) => SegmentKind::Damaged,
        }
    }
}

/// A frame and its position in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedFrame {
    /// The offset of its first byte in the segment.
    pub offset: usize,
    /// The frame.
    pub frame: Frame,
}

/// The content of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// The kind of the file according to its header.
    pub kind: SegmentKind,
    /// The intact frames, in the order of their offsets.
    pub frames: Vec<LocatedFrame>,
    /// Byte ranges that cannot be decoded and may have contained frames.
    pub damaged: Vec<Range<usize>>,
    /// Whether the last damaged range extends to the end of the segment, so that the number of frames lost in it is
    /// unknown.
    pub torn: bool,
}

/// Reads a segment, whatever its bytes are. After damage it continues with the next intact frame whose sequence number
/// can follow that of the last frame.
pub fn read_segment(bytes: &[u8]) -> Scan {
    let mut scan =
        Scan { kind: SegmentKind::of(bytes), frames: Vec::new(), damaged: Vec::new(), torn: false };
    let mut last_sequence = match &scan.kind {
        SegmentKind::Segment(header) => header.first_sequence.saturating_sub(1),
        SegmentKind::Damaged => 0,
        SegmentKind::Newer(_) | SegmentKind::Blank => return scan,
    };
    let mut offset = SEGMENT_HEADER_LEN.min(bytes.len());
    while offset < bytes.len() {
        match decode(&bytes[offset..]) {
            Ok((frame, length)) if frame.sequence > last_sequence => {
                last_sequence = frame.sequence;
                scan.frames.push(LocatedFrame { offset, frame });
                offset += length;
            }
            // Zeros up to the end were never written; zeros with other bytes after them are damage.
            Err(DecodeError::Unwritten) if bytes[offset..].iter().all(|byte| *byte == 0) => break,
            Ok(_) | Err(_) => {
                let next = next_frame(bytes, offset + 1, last_sequence);
                scan.torn = next.is_none();
                let end = next.unwrap_or(bytes.len());
                scan.damaged.push(offset..end);
                offset = end;
            }
        }
    }
    scan
}

/// Returns the offset of the first intact frame at or after `from` whose sequence number can follow `last_sequence`.
fn next_frame(bytes: &[u8], from: usize, last_sequence: u64) -> Option<usize> {
    let last_offset = bytes.len().checked_sub(FRAME_HEADER_LEN)?;
    // The length and the sequence number rule out most offsets without computing a checksum.
    let is_plausible = |offset: &usize| {
        let Some(header) = bytes[*offset..].first_chunk::<FRAME_HEADER_LEN>() else { return false };
        let header = FrameHeader::decode(header);
        header.length > 0
            && header.length <= MAX_RECORD_LEN
            && header.sequence > last_sequence
            && header.sequence - last_sequence < MAX_SEQUENCE_JUMP
    };
    (from..=last_offset).filter(is_plausible).find(|offset| decode(&bytes[*offset..]).is_ok())
}
