//! The format of a persisted file: a fixed header with a format version and a checksum, then the body.
//!
//! | bytes | content |
//! | --- | --- |
//! | 8 | type of the file: `LDSTATE` or `LDLEARN`, and a zero byte |
//! | 2 | format version, little-endian; this is 1 |
//! | 4 | length of the body in bytes, little-endian |
//! | 4 | CRC-32C of the body (RFC 3720's polynomial), little-endian |
//! | length | the body, [`SavedEndpoints`] or [`Estimates`](crate::Estimates) in postcard |
//!
//! A truncated write, a flipped bit and a file of another version cause different errors, so that the log can name the
//! fault. A file is never decoded in part.

#[cfg(test)]
mod tests;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A type that is persisted in a separate file.
pub trait Persisted: Serialize + DeserializeOwned {
    /// First bytes of the file.
    const MAGIC: &'static [u8; 8];
    /// Returns the site and the proxy that wrote the file.
    fn origin(&self) -> (&str, &str);
}

/// Format version, incremented whenever the encoding of a body changes. Files of other versions are rejected.
pub const VERSION: u16 = 1;
/// Maximum length of a body in bytes: an endpoint list of at most 16 MiB, as discovery sends it, and some small fields.
pub const MAX_BODY: usize = 17 * 1024 * 1024;

const VERSION_OFFSET: usize = 8;
const LENGTH_OFFSET: usize = 10;
const CHECKSUM_OFFSET: usize = 14;
const HEADER_LENGTH: usize = 18;

/// The last endpoint list that a proxy received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedEndpoints {
    /// Site as named in the operator file; a list of another site is not used.
    pub site: String,
    /// Proxy that wrote the file.
    pub proxy: String,
    /// Time of writing in milliseconds since 1970, by the writer's wall clock.
    pub written_ms: u64,
    /// Version of the list, assigned by discovery.
    pub index: u64,
    /// The full list in discovery's JSON, which this crate does not parse.
    pub list: Vec<u8>,
}

impl Persisted for SavedEndpoints {
    const MAGIC: &'static [u8; 8] = b"LDSTATE\0";
    fn origin(&self) -> (&str, &str) {
        (&self.site, &self.proxy)
    }
}

/// Error returned when a file cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The file is shorter than the header, or than the header says: a truncated write, or an empty file.
    #[error("truncated: {found} bytes, {expected} expected")]
    Truncated {
        /// Length of the file in bytes.
        found: usize,
        /// Length of the header, or of header and body, in bytes.
        expected: usize,
    },
    /// The first bytes are not the magic of this type of file.
    #[error("not a state file: the first bytes are not {0}")]
    Foreign(&'static str),
    /// The file has another format version.
    #[error("format version {0}, this program reads {VERSION}")]
    Version(u16),
    /// The length in the header exceeds [`MAX_BODY`].
    #[error("a body of {0} bytes, {MAX_BODY} at most")]
    TooLong(usize),
    /// The body has changed since it was written.
    #[error("checksum mismatch: {found:08x} in the header, {computed:08x} computed")]
    Checksum {
        /// Checksum in the header.
        found: u32,
        /// Checksum computed from the body.
        computed: u32,
    },
    /// There are bytes after the body, as if two writes were mixed.
    #[error("{0} bytes after the body")]
    Trailing(usize),
    /// The checksum is right, but the body cannot be decoded as this type: another program wrote it.
    #[error("malformed body: {0}")]
    Body(#[source] postcard::Error),
}

/// Encodes a file.
pub fn encode<T: Persisted>(value: &T) -> Vec<u8> {
    // Serializing numbers, strings and vectors to memory cannot fail.
    let body = postcard::to_allocvec(value).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_LENGTH + body.len());
    bytes.extend_from_slice(T::MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes());
    bytes.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Returns the `N` bytes at `offset`, which must lie inside `bytes`.
fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[offset..offset + N]);
    array
}

/// Decodes a file.
///
/// # Errors
/// Returns the first fault found in the bytes.
pub fn decode<T: Persisted>(bytes: &[u8]) -> Result<T, ReadError> {
    let truncated = |expected| ReadError::Truncated { found: bytes.len(), expected };
    let magic_length = bytes.len().min(T::MAGIC.len());
    if bytes[..magic_length] != T::MAGIC[..magic_length] {
        let name = std::str::from_utf8(&T::MAGIC[..7]).unwrap_or_default();
        return Err(ReadError::Foreign(name));
    }
    if bytes.len() < HEADER_LENGTH {
        return Err(truncated(HEADER_LENGTH));
    }
    let version = u16::from_le_bytes(bytes_at(bytes, VERSION_OFFSET));
    if version != VERSION {
        return Err(ReadError::Version(version));
    }
    let body_length = u32::from_le_bytes(bytes_at(bytes, LENGTH_OFFSET)) as usize;
    if body_length > MAX_BODY {
        return Err(ReadError::TooLong(body_length));
    }
    let length = HEADER_LENGTH + body_length;
    let body = bytes.get(HEADER_LENGTH..length).ok_or(truncated(length))?;
    if bytes.len() > length {
        return Err(ReadError::Trailing(bytes.len() - length));
    }
    let found = u32::from_le_bytes(bytes_at(bytes, CHECKSUM_OFFSET));
    let computed = crc32c::crc32c(body);
    if found != computed {
        return Err(ReadError::Checksum { found, computed });
    }
    postcard::from_bytes(body).map_err(ReadError::Body)
}
