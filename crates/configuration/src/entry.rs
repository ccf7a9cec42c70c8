//! Entries of the document: a section, a name within it, and a value as JSON text.

use std::fmt;

/// A part of the settings object whose entries have names.
///
/// The discriminants go into the checksum, which is the same at the source and at every follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Section {
    /// Every key of the settings that is no section of its own, by that key.
    Base = 0,
    /// Classes of requests, by name.
    Profiles = 1,
    /// Tenants, by name.
    Customers = 2,
}

impl Section {
    /// All sections in their canonical order.
    pub const ALL: [Section; 3] = [Section::Base, Section::Profiles, Section::Customers];
    /// The sections that are arrays of named objects in the settings.
    pub(crate) const NAMED: [Section; 2] = [Section::Profiles, Section::Customers];

    /// The section's name in messages, and in the settings where it is an array.
    pub fn label(self) -> &'static str {
        match self {
            Section::Base => "base",
            Section::Profiles => "profiles",
            Section::Customers => "customers",
        }
    }
}

/// Identifies an entry of the document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The section that the entry is in.
    pub section: Section,
    /// The entry's name, unique within the section.
    pub name: Box<str>,
}

impl Key {
    /// The key of an entry with this name.
    pub fn new(section: Section, name: &str) -> Key {
        Key { section, name: name.into() }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.section.label(), self.name)
    }
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Section and name.
    pub key: Key,
    /// JSON text without a line break; without the key `name` in sections of named objects.
    pub value: Box<str>,
}
