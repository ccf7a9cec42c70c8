//! Why a version cannot be staged.

use crate::checksum::Checksum;
use crate::document::DocumentError;
use crate::entry::Key;
use thiserror::Error;

/// Why a version cannot be built from the document in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StagingError {
    /// An entry occurs more than once, or is both changed and removed.
    #[error("{0}: duplicate entry")]
    DuplicateEntry(Key),
    /// An entry is removed that does not exist.
    #[error("{0}: removed, but does not exist")]
    MissingEntry(Key),
    /// An entry or the document as a whole exceeds what a document holds.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The resulting document is not the source's.
    #[error("checksum of the document: expected {expected}, got {got}")]
    ChecksumMismatch {
        /// The source's.
        expected: Checksum,
        /// Of the document that resulted here.
        got: Checksum,
    },
}
