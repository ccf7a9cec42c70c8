//! The document: named entries in sections, as compact JSON texts.
//!
//! Entries are found by section and name, never by position. The order in which a settings object lists profiles or
//! customers carries no meaning (rules find them by name), so that it is not kept: the canonical order is that of
//! section and name. Arrays inside an entry keep their order.

use crate::checksum::Checksum;
use crate::delta::Entry;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// The longest name of an entry, bytes; the longest in use are under 64.
pub const MAX_NAME_BYTES: usize = 256;
/// The longest value of an entry, bytes: lists of zones or kinds are the longest in use, some 20 KB at 1,000 zones.
pub const MAX_VALUE_BYTES: usize = 256 * 1024;
/// Bytes that all names and values may have together. At 16,000 profiles and 34,000 customers they have under 6 MB; the
/// memory that a proxy spends on control (64 MB) holds such a document, its successor and the settings read from it.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// Entries of a document: four times the 50,000 that are planned for.
pub const MAX_ENTRIES: usize = 200_000;

/// The key that names an object inside an array of the settings.
const NAME: &str = "name";

/// A part of the settings object whose entries have names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Section {
    /// Every key of the settings that is no section of its own, by that key.
    Base,
    /// Classes of requests, by name.
    Profiles,
    /// Tenants, by name.
    Customers,
}

impl Section {
    /// All sections in their canonical order.
    pub const ALL: [Section; 3] = [Section::Base, Section::Profiles, Section::Customers];
    /// Those that are arrays of named objects in the settings.
    const NAMED: [Section; 2] = [Section::Profiles, Section::Customers];

    /// What it is called on the wire, and in the settings where it is an array.
    pub fn label(self) -> &'static str {
        match self {
            Section::Base => "base",
            Section::Profiles => "profiles",
            Section::Customers => "customers",
        }
    }
}

/// What an entry is found by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The section that it is in.
    pub section: Section,
    /// Its name, which no other entry of the section has.
    pub name: Box<str>,
}

impl Key {
    /// The key of that name.
    pub fn new(section: Section, name: &str) -> Key {
        Key { section, name: name.into() }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.section.label(), self.name)
    }
}

/// Why settings and a document do not stand for each other.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// Settings are an object.
    #[error("expected an object as the settings")]
    NotAnObject,
    /// A section of named objects is an array.
    #[error("{0}: expected an array")]
    NotAnArray(&'static str),
    /// Its items are objects with a name each.
    #[error("{0}[{1}]: expected an object with a name")]
    MissingName(&'static str, usize),
    /// Rules find an entry by its name.
    #[error("{0}: named twice")]
    DuplicateEntry(Key),
    /// The name is empty or too long.
    #[error("{0}: expected a name of 1 to {MAX_NAME_BYTES} bytes")]
    NameLength(&'static str),
    /// A value is longer than any that makes sense.
    #[error("{0}: expected a value of at most {MAX_VALUE_BYTES} bytes, got {1}")]
    ValueTooLong(Key, usize),
    /// A value cannot be read, or is no object where one is expected.
    #[error("{0}: expected {1}")]
    InvalidValue(Key, &'static str),
    /// All entries together are too large.
    #[error("expected at most {MAX_ENTRIES} entries of {MAX_DOCUMENT_BYTES} bytes, got {0} of {1}")]
    TooLarge(usize, usize),
}

/// One state of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    entries: BTreeMap<Key, Box<str>>,
    bytes: usize,
    checksum: Checksum,
}

impl Document {
    /// The document that a settings object stands for.
    ///
    /// # Errors
    /// The first thing that no document can hold.
    pub fn from_settings(settings: &Value) -> Result<Document, DocumentError> {
        let settings = settings.as_object().ok_or(DocumentError::NotAnObject)?;
        let mut document = Document::default();
        let named = |key: &str| Section::NAMED.into_iter().find(|section| section.label() == key);
        for (key, value) in settings {
            match named(key) {
                Some(section) => document.insert_named(section, value)?,
                None => document.insert_new(Key::new(Section::Base, key), value.to_string())?,
            }
        }
        document.within_bounds()?;
        Ok(document)
    }

    fn insert_named(&mut self, section: Section, value: &Value) -> Result<(), DocumentError> {
        let items = value.as_array().ok_or(DocumentError::NotAnArray(section.label()))?;
        for (at, item) in items.iter().enumerate() {
            let nameless = || DocumentError::MissingName(section.label(), at);
            let mut object = item.as_object().cloned().ok_or_else(nameless)?;
            let Some(Value::String(name)) = object.remove(NAME) else { return Err(nameless()) };
            self.insert_new(Key::new(section, &name), Value::Object(object).to_string())?;
        }
        Ok(())
    }

    fn insert_new(&mut self, key: Key, value: String) -> Result<(), DocumentError> {
        check_entry(&key, &value)?;
        if self.entries.contains_key(&key) {
            return Err(DocumentError::DuplicateEntry(key));
        }
        self.set(key, value.into());
        Ok(())
    }

    fn within_bounds(&self) -> Result<(), DocumentError> {
        check_size(self.entries.len(), self.bytes)
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// There is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all names and values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Over all entries.
    pub fn checksum(&self) -> Checksum {
        self.checksum
    }

    /// The value of that name.
    pub fn get(&self, key: &Key) -> Option<&str> {
        self.entries.get(key).map(|value| &**value)
    }

    /// All entries in their canonical order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &str)> {
        self.entries.iter().map(|(key, value)| (key, &**value))
    }

    /// Sets an entry; the value that stood there.
    pub(crate) fn set(&mut self, key: Key, value: Box<str>) -> Option<Box<str>> {
        let old = self.remove(&key);
        self.bytes += key.name.len() + value.len();
        self.checksum.add(&key, &value);
        self.entries.insert(key, value);
        old
    }

    /// Takes an entry out; the value that stood there.
    pub(crate) fn remove(&mut self, key: &Key) -> Option<Box<str>> {
        let value = self.entries.remove(key)?;
        self.bytes -= key.name.len() + value.len();
        self.checksum.subtract(key, &value);
        Some(value)
    }

    /// All entries, copied.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.iter().map(|(key, value)| Entry { key: key.clone(), value: value.into() }).collect()
    }
}

/// The entry is one that a document may hold.
pub(crate) fn check_entry(key: &Key, value: &str) -> Result<(), DocumentError> {
    check_key(key)?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(DocumentError::ValueTooLong(key.clone(), value.len()));
    }
    Ok(())
}

/// The name is one that an entry may have.
pub(crate) fn check_key(key: &Key) -> Result<(), DocumentError> {
    if key.name.is_empty() || key.name.len() > MAX_NAME_BYTES {
        return Err(DocumentError::NameLength(key.section.label()));
    }
    let of_named = |section: Section| section.label() == &*key.name;
    if key.section == Section::Base && Section::NAMED.into_iter().any(of_named) {
        return Err(DocumentError::InvalidValue(key.clone(), "a key that is no section of its own"));
    }
    Ok(())
}

/// So many entries of so many bytes may be held.
pub(crate) fn check_size(entries: usize, bytes: usize) -> Result<(), DocumentError> {
    if entries > MAX_ENTRIES || bytes > MAX_DOCUMENT_BYTES {
        return Err(DocumentError::TooLarge(entries, bytes));
    }
    Ok(())
}

/// The settings object that entries stand for, given in their canonical order.
///
/// # Errors
/// The first entry that is no JSON, or no object in a section of named objects.
pub fn to_settings<'a>(entries: impl Iterator<Item = (&'a Key, &'a str)>) -> Result<Value, DocumentError> {
    let mut settings = Map::new();
    let mut named: BTreeMap<Section, Vec<Value>> = BTreeMap::new();
    for section in Section::NAMED {
        named.insert(section, Vec::new());
    }
    for (key, text) in entries {
        let value: Value =
            serde_json::from_str(text).map_err(|_| DocumentError::InvalidValue(key.clone(), "JSON"))?;
        match named.get_mut(&key.section) {
            None => {
                settings.insert(key.name.to_string(), value);
            }
            Some(items) => items.push(with_name(key, value)?),
        }
    }
    for (section, items) in named {
        settings.insert(section.label().into(), Value::Array(items));
    }
    Ok(Value::Object(settings))
}

fn with_name(key: &Key, value: Value) -> Result<Value, DocumentError> {
    match value {
        Value::Object(mut object) if !object.contains_key(NAME) => {
            object.insert(NAME.into(), Value::String(key.name.to_string()));
            Ok(Value::Object(object))
        }
        _ => Err(DocumentError::InvalidValue(key.clone(), "an object without a key `name`")),
    }
}
