//! The two forms in which a source publishes a version: a change of an earlier version, or the full document.

use crate::checksum::Checksum;
use crate::entry::{Entry, Key};
use crate::version::Version;

/// The change from one version of the document to a later one; it may span several versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The only version that the delta applies to.
    pub from: Version,
    /// The version that results.
    pub to: Version,
    /// Entries that are new or have another value, ordered by key, each once.
    pub changed: Vec<Entry>,
    /// Keys of removed entries, ordered, each once and none of those changed.
    pub removed: Vec<Key>,
    /// Over the full document at `to`, and over `to` itself.
    pub checksum: Checksum,
}

/// All entries of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullDocument {
    /// The version of the document.
    pub version: Version,
    /// Ordered by key, each once.
    pub entries: Vec<Entry>,
    /// Over all entries and the version.
    pub checksum: Checksum,
}
