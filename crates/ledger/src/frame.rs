//! Framing: length, sequence number and CRC-32C before each record, so that what was torn or flipped shows.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | length of the record, little-endian; 0 ends the written part of a preallocated segment |
//! | 4 | CRC-32C (RFC 3720, B.4) over sequence number, length and record |
//! | 8 | sequence number within the generation, from 1, without gaps |
//! | n | the record in postcard's format |

use crate::record::Record;

/// Bytes before each record.
pub const HEADER: usize = 16;
/// No record is longer.
pub(crate) const MAX_RECORD: usize = 4096;

/// A record and its place in the generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// From 1, without gaps.
    pub sequence: u64,
    /// What was written down.
    pub record: Record,
}

/// Why no frame stands somewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// Nothing was written there: zeros, or the end of the bytes.
    End,
    /// Something was, and cannot be read.
    Bad,
}

fn checksum(sequence: u64, record: &[u8]) -> u32 {
    let sum = crc32c::crc32c(&sequence.to_le_bytes());
    let sum = crc32c::crc32c_append(sum, &(record.len() as u32).to_le_bytes());
    crc32c::crc32c_append(sum, record)
}

/// Adds a frame to `out`. Texts are cut beforehand, so that no record is too long.
pub fn encode(sequence: u64, record: &Record, out: &mut Vec<u8>) {
    let bytes = postcard::to_allocvec(record).unwrap_or_default(); // only a record without a size has no form
    debug_assert!(bytes.len() <= MAX_RECORD);
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(sequence, &bytes).to_le_bytes());
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&bytes);
}

/// The frame at the beginning of `bytes`, and its length.
///
/// # Errors
/// [`Damage`], without a panic, whatever the bytes are.
pub fn decode(bytes: &[u8]) -> Result<(Frame, usize), Damage> {
    let Some((head, rest)) = bytes.split_first_chunk::<HEADER>() else {
        return Err(if bytes.iter().all(|b| *b == 0) { Damage::End } else { Damage::Bad });
    };
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let (length, sum) = (word(0) as usize, word(4));
    let sequence = u64::from(word(8)) | u64::from(word(12)) << 32;
    if length == 0 {
        return Err(if head.iter().all(|b| *b == 0) { Damage::End } else { Damage::Bad });
    }
    let record = rest.get(..length).filter(|_| length <= MAX_RECORD).ok_or(Damage::Bad)?;
    if checksum(sequence, record) != sum {
        return Err(Damage::Bad);
    }
    let (record, left) = postcard::take_from_bytes(record).map_err(|_| Damage::Bad)?;
    if !left.is_empty() {
        return Err(Damage::Bad);
    }
    Ok((Frame { sequence, record }, HEADER + length))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_survives_and_every_flipped_bit_shows() {
        let record = Record::Intent {
            request: 7,
            attempt: 1,
            at: 99,
            id: "9b1f03aa5c7e2d41".into(),
            backend: "s-5be2a07c".into(),
            address: "127.0.0.1:8443".into(),
        };
        let mut bytes = Vec::new();
        encode(42, &record, &mut bytes);
        assert_eq!(decode(&bytes), Ok((Frame { sequence: 42, record }, bytes.len())));
        for bit in 0..bytes.len() * 8 {
            let mut bad = bytes.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            assert!(decode(&bad).is_err(), "bit {bit}");
        }
        for cut in 1..bytes.len() {
            assert_eq!(decode(&bytes[..cut]), Err(Damage::Bad), "cut at {cut}");
        }
        assert_eq!(decode(&[0; 40]), Err(Damage::End));
    }
}
