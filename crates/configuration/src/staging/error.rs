//! Errors of staging a version.

use crate::checksum::Checksum;
use crate::document::DocumentError;
use crate::entry::Key;
use thiserror::Error;

/// An error in building a version from the document in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StagingError {
    /// An entry occurs more than once, or is both changed and removed.
    #[error("{0}: duplicate entry")]
    DuplicateEntry(Key),
    /// A removed entry does not exist.
    #[error("{0}: cannot be removed, as it does not exist")]
    MissingEntry(Key),
    /// An entry or the whole document exceeds the bounds of a document, or an entry is not valid.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The checksum of the resulting document does not match the source's.
    #[error("checksum of the document: expected {expected}, got {got}")]
    ChecksumMismatch {
        /// The checksum that the source sent.
        expected: Checksum,
        /// The checksum of the resulting document.
        got: Checksum,
    },
}
