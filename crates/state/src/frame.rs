//! The bytes of a kept file: a fixed header with a format version and a checksum, then the body.
//!
//! | bytes | what |
//! | --- | --- |
//! | 8 | what is kept: `LDSTATE` or `LDLEARN`, and a zero byte |
//! | 2 | format version, little-endian; this is 1 |
//! | 4 | length of the body in bytes, little-endian |
//! | 4 | CRC-32C of the body (RFC 3720's polynomial), little-endian |
//! | length | the body, [`SavedEndpoints`] or [`Estimates`](crate::Learned) in postcard |
//!
//! A torn or truncated write, a flipped bit and a file of another version are told apart, so that the log can say
//! which it was; none of them is ever taken in part.

#[cfg(test)]
mod tests;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What can be kept in a file of its own.
pub trait Persisted: Serialize + DeserializeOwned {
    /// The file's first bytes.
    const MAGIC: &'static [u8; 8];
    /// The site and the proxy that wrote it.
    fn origin(&self) -> (&str, &str);
}

/// Raised whenever the body changes its form; a file of another number is not read.
pub const VERSION: u16 = 1;
const HEADER: usize = 8 + 2 + 4 + 4;
/// A list is at most 16 MiB as discovery sends it (the proxy's own bound, `MAX_LIST`); the rest is small.
pub const MAX_BODY: usize = 17 * 1024 * 1024;

/// What a proxy saves of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedEndpoints {
    /// The site as the operator file names it; a state of another site is not taken.
    pub site: String,
    /// The proxy that wrote it.
    pub proxy: String,
    /// When it was written: milliseconds since 1970 by the writer's wall clock.
    pub written_ms: u64,
    /// Discovery's version of the list.
    pub index: u64,
    /// The whole list, as discovery's JSON, opaque here.
    pub list: Vec<u8>,
}

impl Persisted for SavedEndpoints {
    const MAGIC: &'static [u8; 8] = b"LDSTATE\0";
    fn origin(&self) -> (&str, &str) {
        (&self.site, &self.proxy)
    }
}

/// Why a file's bytes are not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// Shorter than the header says: a write that was cut off, or an empty file.
    #[error("truncated: {got} bytes, {wanted} expected")]
    Truncated { got: usize, wanted: usize },
    /// The first bytes are not a state file's.
    #[error("not a state file: the first bytes are not {0}")]
    Foreign(&'static str),
    /// Written by a program of another format.
    #[error("format version {0}, this program reads {VERSION}")]
    Version(u16),
    /// The header claims more than any state may be.
    #[error("a body of {0} bytes is told, {MAX_BODY} at most")]
    TooLong(usize),
    /// The body is not what was written.
    #[error("checksum: {found:08x} read, {computed:08x} computed")]
    Checksum { found: u32, computed: u32 },
    /// Bytes after the body: two writes ran into one another.
    #[error("{0} bytes after the body")]
    Trailing(usize),
    /// The checksum holds but the body cannot be read: another program's.
    #[error("body: {0}")]
    Body(String),
}

/// The bytes of a state.
pub fn encode<T: Persisted>(saved: &T) -> Vec<u8> {
    // A Vec of bytes and strings always serialise; there is no error to carry.
    let body = postcard::to_allocvec(saved).unwrap_or_default();
    let mut out = Vec::with_capacity(HEADER + body.len());
    out.extend_from_slice(T::MAGIC);
    out.extend_from_slice(&VERSION.to_le_bytes());
    out.extend_from_slice(&u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes());
    out.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
    out.extend_from_slice(&body);
    out
}

fn word<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[at..at + N]);
    out
}

/// A state from its bytes.
///
/// # Errors
/// Whatever is wrong with them, the first fault met.
pub fn decode<T: Persisted>(bytes: &[u8]) -> Result<T, ReadError> {
    let short = |wanted| ReadError::Truncated { got: bytes.len(), wanted };
    let begins = bytes.len().min(T::MAGIC.len());
    if bytes[..begins] != T::MAGIC[..begins] {
        return Err(ReadError::Foreign(std::str::from_utf8(&T::MAGIC[..7]).unwrap_or_default()));
    }
    if bytes.len() < HEADER {
        return Err(short(HEADER));
    }
    let version = u16::from_le_bytes(word(bytes, 8));
    if version != VERSION {
        return Err(ReadError::Version(version));
    }
    let length = u32::from_le_bytes(word(bytes, 10)) as usize;
    if length > MAX_BODY {
        return Err(ReadError::TooLong(length));
    }
    let body = bytes.get(HEADER..HEADER + length).ok_or(short(HEADER + length))?;
    if bytes.len() > HEADER + length {
        return Err(ReadError::Trailing(bytes.len() - HEADER - length));
    }
    let found = u32::from_le_bytes(word(bytes, 14));
    let computed = crc32c::crc32c(body);
    if found != computed {
        return Err(ReadError::Checksum { found, computed });
    }
    postcard::from_bytes(body).map_err(|e| ReadError::Body(e.to_string()))
}
