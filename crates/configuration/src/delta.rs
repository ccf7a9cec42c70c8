//! The two forms in which a source sends a version: the changes since an earlier version, or the full document.

use crate::checksum::Checksum;
use crate::entry::{Entry, Key};
use crate::version::Version;

/// The changes from one version of the document to a later one, possibly across several versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The version to which the delta applies; it applies to no other.
    pub from: Version,
    /// The resulting version.
    pub to: Version,
    /// Entries that are new or have a different value, ordered by key and without duplicates.
    pub changed: Vec<Entry>,
    /// Keys of removed entries, ordered and without duplicates; none of them is in `changed`.
    pub removed: Vec<Key>,
    /// Checksum over the full document at `to` and over `to` itself.
    pub checksum: Checksum,
}

/// All entries of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullDocument {
    /// The version of the document.
    pub version: Version,
    /// The entries, ordered by key and without duplicates.
    pub entries: Vec<Entry>,
    /// Checksum over all entries and the version.
    pub checksum: Checksum,
}
