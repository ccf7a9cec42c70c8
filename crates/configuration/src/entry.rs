//! Entries of the document: a section, a name within it, and a value as JSON text.

use std::fmt;

/// A part of the settings object whose entries have names.
///
/// The discriminants are hashed into the checksum, so the source and all followers have to use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Section {
    /// Top-level keys of the settings that do not form a section of their own, by key.
    Base = 0,
    /// Request classes, by name.
    Profiles = 1,
    /// Tenants, by name.
    Customers = 2,
}

impl Section {
    /// All sections in their canonical order.
    pub const ALL: [Section; 3] = [Section::Base, Section::Profiles, Section::Customers];
    /// The sections that are arrays of named objects in the settings.
    pub(crate) const NAMED: [Section; 2] = [Section::Profiles, Section::Customers];

    /// Returns the section's name in messages, which is also the key of the array in the settings for named sections.
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
    /// Creates the key of the entry `name` in `section`.
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
    /// The section and name of the entry.
    pub key: Key,
    /// The value as JSON text without line breaks. In sections of named objects it does not contain the key `name`.
    pub value: Box<str>,
}
