//! The document: named entries in sections, as compact JSON texts.
//!
//! Entries are identified by section and name, never by position. The order in which a settings object lists profiles
//! or customers has no meaning, as rules refer to them by name, and is not preserved: the canonical order is by section
//! and then by name. Arrays inside an entry keep their order.

use crate::checksum::Checksum;
use crate::entry::{Entry, Key, Section};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use thiserror::Error;

/// The maximum length of an entry's name, bytes; names in use are under 64 bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The maximum length of an entry's value, bytes. The longest values in use are lists of zones or kinds, about 20 KB
/// for 1,000 zones.
pub const MAX_VALUE_BYTES: usize = 256 * 1024;
/// The maximum size of a document, bytes of all names and values. 16,000 profiles and 34,000 customers take under 6 MB.
/// A proxy's memory for its configuration (64 MB) holds a document of this size, its successor and the settings read
/// from it.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// The maximum number of entries of a document: four times the planned 50,000.
pub const MAX_ENTRIES: usize = 200_000;

/// The key that holds the name of an object in a named section of the settings.
const NAME_KEY: &str = "name";

/// An error in converting settings to a document or a document to settings, or in an entry of a document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The settings are not an object.
    #[error("settings: expected an object")]
    NotAnObject,
    /// A section of named objects is not an array.
    #[error("{section}: expected an array")]
    NotAnArray {
        /// The section's label.
        section: &'static str,
    },
    /// An item of a named section is not an object, or has no name.
    #[error("{section}[{index}]: expected an object with a name")]
    MissingName {
        /// The section's label.
        section: &'static str,
        /// The item's index in the array.
        index: usize,
    },
    /// Two entries of a section have the same name. Rules refer to an entry by its name, so names have to be unique.
    #[error("{0}: duplicate name")]
    DuplicateEntry(Key),
    /// The name is empty or too long.
    #[error("{section}: expected a name of 1 to {MAX_NAME_BYTES} bytes")]
    NameLength {
        /// The section's label.
        section: &'static str,
    },
    /// A value is too long.
    #[error("{key}: expected a value of at most {MAX_VALUE_BYTES} bytes, got {bytes}")]
    ValueTooLong {
        /// The entry.
        key: Key,
        /// The value's length, bytes.
        bytes: usize,
    },
    /// A value is not valid JSON or not an object of the expected form, or the entry has the name of a section.
    #[error("{key}: expected {expected}")]
    InvalidValue {
        /// The entry.
        key: Key,
        /// What was expected instead.
        expected: &'static str,
    },
    /// The document has too many entries or bytes.
    #[error(
        "expected at most {MAX_ENTRIES} entries of {MAX_DOCUMENT_BYTES} bytes, got {entries} of {bytes}"
    )]
    TooLarge {
        /// Number of entries.
        entries: usize,
        /// Bytes of all names and values.
        bytes: usize,
    },
}

/// The entries of one state of the settings, with their total size and checksum.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    entries: BTreeMap<Key, Box<str>>,
    bytes: usize,
    checksum: Checksum,
}

impl Document {
    /// Creates the document of a settings object.
    ///
    /// # Errors
    /// Returns the first part of the settings that a document cannot hold, or an error if the document is too large.
    pub fn from_settings(settings: &Value) -> Result<Document, DocumentError> {
        let settings = settings.as_object().ok_or(DocumentError::NotAnObject)?;
        let mut document = Document::default();
        for (key, value) in settings {
            match named_section(key) {
                Some(section) => document.insert_section(section, value)?,
                None => document.insert_unique(Key::new(Section::Base, key), value.to_string())?,
            }
        }
        check_size(document.len(), document.bytes)?;
        Ok(document)
    }

    fn insert_section(&mut self, section: Section, value: &Value) -> Result<(), DocumentError> {
        let not_an_array = DocumentError::NotAnArray { section: section.label() };
        let items = value.as_array().ok_or(not_an_array)?;
        for (index, item) in items.iter().enumerate() {
            let missing_name = || DocumentError::MissingName { section: section.label(), index };
            let mut object = item.as_object().cloned().ok_or_else(missing_name)?;
            let Some(Value::String(name)) = object.remove(NAME_KEY) else { return Err(missing_name()) };
            self.insert_unique(Key::new(section, &name), Value::Object(object).to_string())?;
        }
        Ok(())
    }

    fn insert_unique(&mut self, key: Key, value: String) -> Result<(), DocumentError> {
        check_entry(&key, &value)?;
        if self.entries.contains_key(&key) {
            return Err(DocumentError::DuplicateEntry(key));
        }
        self.set(key, value.into());
        Ok(())
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the document has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of all names and values, bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the checksum over all entries.
    pub fn checksum(&self) -> Checksum {
        self.checksum
    }

    /// Returns the value of an entry.
    pub fn get(&self, key: &Key) -> Option<&str> {
        self.entries.get(key).map(|value| &**value)
    }

    /// Iterates over all entries in canonical order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &str)> {
        self.entries.iter().map(|(key, value)| (key, &**value))
    }

    /// Sets an entry and returns its previous value.
    pub(crate) fn set(&mut self, key: Key, value: Box<str>) -> Option<Box<str>> {
        let previous = self.remove(&key);
        self.bytes += key.name.len() + value.len();
        self.checksum.add(&key, &value);
        self.entries.insert(key, value);
        previous
    }

    /// Removes an entry and returns its value.
    pub(crate) fn remove(&mut self, key: &Key) -> Option<Box<str>> {
        let value = self.entries.remove(key)?;
        self.bytes -= key.name.len() + value.len();
        self.checksum.subtract(key, &value);
        Some(value)
    }

    /// Returns copies of all entries in canonical order.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.iter().map(|(key, value)| Entry { key: key.clone(), value: value.into() }).collect()
    }
}

/// Returns the section of named objects with this key in the settings.
fn named_section(key: &str) -> Option<Section> {
    Section::NAMED.into_iter().find(|section| section.label() == key)
}

/// Checks the key and the length of the value of an entry.
pub(crate) fn check_entry(key: &Key, value: &str) -> Result<(), DocumentError> {
    check_key(key)?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(DocumentError::ValueTooLong { key: key.clone(), bytes: value.len() });
    }
    Ok(())
}

/// Checks the length of an entry's name, and that no base entry has the name of a section.
pub(crate) fn check_key(key: &Key) -> Result<(), DocumentError> {
    if key.name.is_empty() || key.name.len() > MAX_NAME_BYTES {
        return Err(DocumentError::NameLength { section: key.section.label() });
    }
    if key.section == Section::Base && named_section(&key.name).is_some() {
        let expected = "a key that is not the name of a section";
        return Err(DocumentError::InvalidValue { key: key.clone(), expected });
    }
    Ok(())
}

/// Checks that a document with this many entries and bytes is not too large.
pub(crate) fn check_size(entries: usize, bytes: usize) -> Result<(), DocumentError> {
    if entries > MAX_ENTRIES || bytes > MAX_DOCUMENT_BYTES {
        return Err(DocumentError::TooLarge { entries, bytes });
    }
    Ok(())
}

/// Builds the settings object from entries given in canonical order.
///
/// # Errors
/// Returns the first entry whose value is not valid JSON or, in a section of named objects, is not an object or
/// contains a key `name`.
pub fn to_settings<'a>(entries: impl Iterator<Item = (&'a Key, &'a str)>) -> Result<Value, DocumentError> {
    let mut settings = Map::new();
    let mut sections: BTreeMap<Section, Vec<Value>> = BTreeMap::new();
    for section in Section::NAMED {
        sections.insert(section, Vec::new());
    }
    for (key, text) in entries {
        let not_json = |_| DocumentError::InvalidValue { key: key.clone(), expected: "JSON" };
        let value: Value = serde_json::from_str(text).map_err(not_json)?;
        match sections.get_mut(&key.section) {
            Some(items) => items.push(with_name(key, value)?),
            None => {
                settings.insert(key.name.to_string(), value);
            }
        }
    }
    for (section, items) in sections {
        settings.insert(section.label().into(), Value::Array(items));
    }
    Ok(Value::Object(settings))
}

fn with_name(key: &Key, value: Value) -> Result<Value, DocumentError> {
    match value {
        Value::Object(mut object) if !object.contains_key(NAME_KEY) => {
            object.insert(NAME_KEY.into(), Value::String(key.name.to_string()));
            Ok(Value::Object(object))
        }
        _ => {
            Err(DocumentError::InvalidValue { key: key.clone(), expected: "an object without a key `name`" })
        }
    }
}
