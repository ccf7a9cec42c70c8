//! Segments: files of frames behind a head that says whose they are. A reader finds every whole frame, also behind
//! damage, and knows which stretches may have held others.

use crate::frame::{decode, Damage, Frame, HEADER};
use crate::record::Millis;
use serde::{Deserialize, Serialize};

/// The format that this program writes.
pub const VERSION: u16 = 1;
/// Bytes of the head: the frames begin behind it.
pub const HEAD_LEN: usize = 256;
const MAGIC: &[u8; 8] = b"LDLEDGER";
/// Bytes before the postcard part of the head: magic, version, length, CRC-32C.
const FIXED: usize = 16;

/// Whose segment it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// The proxy's name.
    pub proxy: String,
    /// One start of one process: drawn at random.
    pub generation: u64,
    /// When that process started.
    pub started_at: Millis,
    /// Number of the segment within the generation, from 0.
    pub number: u32,
    /// Sequence number of its first frame.
    pub first_sequence: u64,
    /// Requests may be sent while nothing can be written.
    pub continues_previous: bool,
}

impl SegmentHeader {
    /// As the first [`HEAD_LEN`] bytes of the file.
    pub fn encode(&self) -> Vec<u8> {
        let mut body = postcard::to_allocvec(self).unwrap_or_default();
        body.truncate(HEAD_LEN - FIXED); // the proxy's name is cut to fit: see `Writer::open`
        let mut out = Vec::with_capacity(HEAD_LEN);
        out.extend_from_slice(MAGIC);
        out.extend_from_slice(&VERSION.to_le_bytes());
        out.extend_from_slice(&(body.len() as u16).to_le_bytes());
        out.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
        out.extend_from_slice(&body);
        out.resize(HEAD_LEN, 0);
        out
    }
}

/// What a head turned out to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentKind {
    /// A segment of this format.
    Segment(SegmentHeader),
    /// A segment of a format that this program does not know.
    Newer(u16),
    /// Created, and not a byte of it written: nothing can have followed.
    Blank,
    /// A head that cannot be read.
    Damaged,
}

fn head(bytes: &[u8]) -> SegmentKind {
    if bytes.iter().all(|b| *b == 0) {
        return SegmentKind::Blank;
    }
    let Some(fixed) = bytes.get(..FIXED).filter(|f| f.starts_with(MAGIC)) else {
        return SegmentKind::Damaged;
    };
    let version = u16::from_le_bytes([fixed[8], fixed[9]]);
    if version > VERSION {
        return SegmentKind::Newer(version);
    }
    let length = usize::from(u16::from_le_bytes([fixed[10], fixed[11]]));
    let sum = u32::from_le_bytes([fixed[12], fixed[13], fixed[14], fixed[15]]);
    let body = bytes.get(FIXED..FIXED + length).filter(|_| FIXED + length <= HEAD_LEN);
    match body.filter(|b| crc32c::crc32c(b) == sum).and_then(|b| postcard::from_bytes(b).ok()) {
        Some(head) => SegmentKind::Segment(head),
        None => SegmentKind::Damaged,
    }
}

/// All that a segment holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// Whose it is.
    pub found: SegmentKind,
    /// The frames that can be read, in their order, with their offsets.
    pub frames: Vec<(usize, Frame)>,
    /// Stretches that cannot be read and may have held frames.
    pub damaged: Vec<std::ops::Range<usize>>,
    /// The last stretch reaches to the end of what was written: a torn tail.
    pub torn: bool,
}

/// Reads a segment, whatever its bytes are. Behind damage it looks for the next whole frame with a sequence number
/// that can follow.
pub fn read_segment(bytes: &[u8]) -> Scan {
    let mut scan = Scan { found: head(bytes), frames: Vec::new(), damaged: Vec::new(), torn: false };
    let mut last = match &scan.found {
        SegmentKind::Segment(head) => head.first_sequence.saturating_sub(1),
        SegmentKind::Damaged => 0,
        SegmentKind::Newer(_) | SegmentKind::Blank => return scan,
    };
    let mut at = HEAD_LEN.min(bytes.len());
    while at < bytes.len() {
        match decode(&bytes[at..]) {
            Ok((frame, length)) if frame.sequence > last => {
                last = frame.sequence;
                scan.frames.push((at, frame));
                at += length;
            }
            // Zeros to the end: nothing more was written. A frame behind them was, so that they are damage.
            Err(Damage::End) if bytes[at..].iter().all(|b| *b == 0) => break,
            Ok(_) | Err(_) => {
                let next = next_frame(bytes, at + 1, last);
                scan.torn = next.is_none();
                scan.damaged.push(at..next.unwrap_or(bytes.len()));
                at = next.unwrap_or(bytes.len());
            }
        }
    }
    scan
}

/// Where the next whole frame begins whose sequence number can follow.
fn next_frame(bytes: &[u8], from: usize, last: u64) -> Option<usize> {
    let end = bytes.len().checked_sub(HEADER)?;
    // Most offsets fail at their length or sequence number, before any sum is reckoned.
    let likely = |at: &usize| {
        let word = |i: usize| u32::from_le_bytes([bytes[i], bytes[i + 1], bytes[i + 2], bytes[i + 3]]);
        let length = word(*at) as usize;
        let sequence = u64::from(word(at + 8)) | u64::from(word(at + 12)) << 32;
        length > 0 && length <= crate::frame::MAX_RECORD && sequence > last && sequence - last < 1 << 24
    };
    (from..=end).filter(likely).find(|at| decode(&bytes[*at..]).is_ok())
}
