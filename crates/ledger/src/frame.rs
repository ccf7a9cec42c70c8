//! Frames: records with a header of length, checksum and sequence number, by which torn writes and flipped bits are
//! detected.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | length of the record, little-endian; 0 ends the written part of a preallocated segment |
//! | 4 | CRC-32C (RFC 3720, B.4) over sequence number, length and record |
//! | 8 | sequence number within the generation: consecutive from 1, so that a jump shows lost records |
//! | n | the record in postcard's format |

#[cfg(test)]
mod tests;

use crate::record::Record;

/// The length of a frame's header, bytes.
pub const FRAME_HEADER_LEN: usize = 16;
/// The maximum length of an encoded record, bytes.
pub(crate) const MAX_RECORD_LEN: usize = 4096;

const CHECKSUM_OFFSET: usize = 4;
const SEQUENCE_OFFSET: usize = 8;

/// A record and its sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The sequence number within the generation: consecutive from 1, counting lost records too.
    pub sequence: u64,
    /// The record.
    pub record: Record,
}

/// The reason why bytes do not begin with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Nothing was written there: only zeros, or no bytes at all.
    Unwritten,
    /// Something was written there but cannot be decoded.
    Corrupt,
}

impl DecodeError {
    /// Classifies undecodable bytes as unwritten if all of them are zero, and as corrupt otherwise.
    fn of(bytes: &[u8]) -> DecodeError {
        if bytes.iter().all(|byte| *byte == 0) {
            DecodeError::Unwritten
        } else {
            DecodeError::Corrupt
        }
    }
}

/// The header of a frame. Its checksum has not been verified.
pub(crate) struct FrameHeader {
    /// The length of the record, bytes.
    pub(crate) length: usize,
    pub(crate) sequence: u64,
    checksum: u32,
}

impl FrameHeader {
    pub(crate) fn decode(bytes: &[u8; FRAME_HEADER_LEN]) -> FrameHeader {
        let u32_at = |offset: usize| {
            u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
        };
        let low = u64::from(u32_at(SEQUENCE_OFFSET));
        let high = u64::from(u32_at(SEQUENCE_OFFSET + 4));
        FrameHeader {
            length: u32_at(0) as usize,
            sequence: low | high << 32,
            checksum: u32_at(CHECKSUM_OFFSET),
        }
    }
}

fn checksum(sequence: u64, record: &[u8]) -> u32 {
    let sum = crc32c::crc32c(&sequence.to_le_bytes());
    let sum = crc32c::crc32c_append(sum, &(record.len() as u32).to_le_bytes());
    crc32c::crc32c_append(sum, record)
}

/// Appends a frame to `out`. The caller has truncated the record's texts, so that the record is not too long.
pub fn encode(sequence: u64, record: &Record, out: &mut Vec<u8>) {
    // Serializing numbers and strings to memory cannot fail.
    let bytes = postcard::to_allocvec(record).unwrap_or_default();
    debug_assert!(bytes.len() <= MAX_RECORD_LEN);
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(sequence, &bytes).to_le_bytes());
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&bytes);
}

/// Decodes the frame at the beginning of `bytes` and returns it with its length in bytes. Never panics, whatever the
/// bytes are.
///
/// # Errors
/// The bytes do not begin with a frame.
pub fn decode(bytes: &[u8]) -> Result<(Frame, usize), DecodeError> {
    let Some((header_bytes, rest)) = bytes.split_first_chunk::<FRAME_HEADER_LEN>() else {
        return Err(DecodeError::of(bytes));
    };
    let header = FrameHeader::decode(header_bytes);
    if header.length == 0 {
        return Err(DecodeError::of(header_bytes));
    }
    if header.length > MAX_RECORD_LEN {
        return Err(DecodeError::Corrupt);
    }
    let record = rest.get(..header.length).ok_or(DecodeError::Corrupt)?;
    if checksum(header.sequence, record) != header.checksum {
        return Err(DecodeError::Corrupt);
    }
    let (record, trailing) = postcard::take_from_bytes(record).map_err(|_| DecodeError::Corrupt)?;
    if !trailing.is_empty() {
        return Err(DecodeError::Corrupt);
    }
    Ok((Frame { sequence: header.sequence, record }, FRAME_HEADER_LEN + header.length))
}
