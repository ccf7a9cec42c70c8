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
//! Values of entries are transferred as the texts that the source hashed.

use crate::delta::{Delta, FullDocument};
use crate::document::{MAX_DOCUMENT_BYTES, MAX_ENTRIES};
use crate::entry::Key;
use crate::version::Version;
use thiserror::Error;

/// The longest message, bytes: the largest document, with quotes and escapes around its names.
pub const MAX_MESSAGE_BYTES: usize = MAX_DOCUMENT_BYTES + MAX_DOCUMENT_BYTES / 2;

/// An answer of the source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The latest version: there is none later than the one polled for.
    Unchanged(Version),
    /// A change of the follower's version.
    Delta(Delta),
    /// All entries.
    FullDocument(FullDocument),
}

/// Why a text is no message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The text is longer than any message.
    #[error("expected at most {MAX_MESSAGE_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// The text does not have the form of a message.
    #[error("expected a message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A key is missing that the kind of message has.
    #[error("{key}: missing in a message of kind {kind}")]
    MissingKey {
        /// The key.
        key: &'static str,
        /// The message's kind.
        kind: String,
    },
    /// There is a key that the kind of message does not have.
    #[error("{key}: not a key of a message of kind {kind}")]
    UnexpectedKey {
        /// The key.
        key: &'static str,
        /// The message's kind.
        kind: String,
    },
    /// The kind is unknown.
    #[error("kind: expected unchanged, delta or whole, got {0:?}")]
    UnknownKind(String),
    /// An entry occurs more than once.
    #[error("{0}: duplicate entry")]
    DuplicateEntry(Key),
    /// There are more entries than a document holds.
    #[error("expected at most {MAX_ENTRIES} entries, got {0}")]
    TooManyEntries(usize),
}
