//! What the source tells: the change from one version to another, or a whole document.

use crate::checksum::Checksum;
use crate::document::Key;
use crate::version::Version;

/// A name and its value, JSON text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Section and name.
    pub key: Key,
    /// JSON text without a line break; without the key `name` in sections of named objects.
    pub value: Box<str>,
}

/// The change from one version of the document to a later one; it may span several versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The version that it changes; it fits no other.
    pub from: Version,
    /// The version that comes of it.
    pub to: Version,
    /// Entries that are new or have another value, ordered by key, each once.
    pub changed: Vec<Entry>,
    /// Entries that are left out from now on, ordered by key, each once and none of those changed.
    pub removed: Vec<Key>,
    /// Over the whole document at `to`, and over `to` itself.
    pub checksum: Checksum,
}

/// All entries of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullDocument {
    /// Which version it is.
    pub version: Version,
    /// Ordered by key, each once.
    pub entries: Vec<Entry>,
    /// Over all entries and the version.
    pub checksum: Checksum,
}
