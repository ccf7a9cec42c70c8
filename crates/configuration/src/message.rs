//! Messages from the source to its followers.
//!
//! Their JSON texts are written by [`encode`](crate::encode) and read by [`decode`](crate::decode):
//!
//! ```text
//! {"kind":"unchanged","version":"E-N"}
//! {"kind":"delta","from":"E-N","to":"E-N","changed":{"profiles":{"NAME":{...}}},"removed":{"customers":["NAME"]},"checksum":"HEX"}
//! {"kind":"whole","version":"E-N","entries":{"base":{"KEY":...},"profiles":{...},"customers":{...}},"checksum":"HEX"}
//! ```
//!
//! Values of entries are sent as the exact texts over which the source computed the checksum.

use crate::delta::{Delta, FullDocument};
use crate::document::{MAX_DOCUMENT_BYTES, MAX_ENTRIES};
use crate::entry::Key;
use crate::version::Version;
use thiserror::Error;

/// The maximum length of a message, bytes: one and a half times the largest document, as names are quoted and escaped.
pub const MAX_MESSAGE_BYTES: usize = MAX_DOCUMENT_BYTES + MAX_DOCUMENT_BYTES / 2;

/// An answer of the source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The source's latest version, without content. Sent when there is no later version than the follower's.
    Unchanged(Version),
    /// The changes since the follower's version.
    Delta(Delta),
    /// All entries of the latest version.
    FullDocument(FullDocument),
}

/// An error in decoding a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The text is longer than the maximum.
    #[error("expected at most {MAX_MESSAGE_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// The text is not JSON with the keys and value types of a message.
    #[error("expected a message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A required key of this kind of message is missing.
    #[error("{key}: missing in a message of kind {kind}")]
    MissingKey {
        /// The key.
        key: &'static str,
        /// The message's kind.
        kind: String,
    },
    /// The message has a key that does not belong to its kind.
    #[error("{key}: not a key of a message of kind {kind}")]
    UnexpectedKey {
        /// The key.
        key: &'static str,
        /// The message's kind.
        kind: String,
    },
    /// The kind of message is unknown.
    #[error("kind: expected unchanged, delta or whole, got {0:?}")]
    UnknownKind(String),
    /// An entry occurs more than once.
    #[error("{0}: duplicate entry")]
    DuplicateEntry(Key),
    /// There are more entries than a document may hold.
    #[error("expected at most {MAX_ENTRIES} entries, got {0}")]
    TooManyEntries(usize),
}
