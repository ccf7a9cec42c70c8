//! The keys of a message's JSON text, before they are checked against the kind of message.

use crate::checksum::Checksum;
use crate::document::MAX_ENTRIES;
use crate::entry::Section;
use crate::version::Version;
use serde::de::{Error as _, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::fmt;
use std::str::FromStr;

/// The keys of all kinds of messages.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MessageFields {
    pub(crate) kind: String,
    pub(crate) version: Option<Parsed<Version>>,
    pub(crate) from: Option<Parsed<Version>>,
    pub(crate) to: Option<Parsed<Version>>,
    pub(crate) checksum: Option<Parsed<Checksum>>,
    pub(crate) entries: Option<Sections<NamedValues>>,
    pub(crate) changed: Option<Sections<NamedValues>>,
    pub(crate) removed: Option<Sections<Names>>,
}

/// One value for each section.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, bound(deserialize = "T: Default + Deserialize<'de>"))]
pub(crate) struct Sections<T> {
    base: T,
    profiles: T,
    customers: T,
}

impl<T> Sections<T> {
    /// Returns the values with their sections, in canonical order.
    pub(crate) fn into_items(self) -> [(Section, T); 3] {
        [(Section::Base, self.base), (Section::Profiles, self.profiles), (Section::Customers, self.customers)]
    }
}

/// A value that is parsed from a JSON string.
pub(crate) struct Parsed<T>(pub(crate) T);

impl<'de, T: FromStr<Err: fmt::Display>> Deserialize<'de> for Parsed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Parsed<T>, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Parsed).map_err(D::Error::custom)
    }
}

/// An entry's name and its value as JSON text.
pub(crate) struct NamedValue {
    pub(crate) name: Box<str>,
    pub(crate) value: Box<str>,
}

/// Entries of a section in the order in which they were received, duplicates included.
#[derive(Default)]
pub(crate) struct NamedValues(pub(crate) Vec<NamedValue>);

impl<'de> Deserialize<'de> for NamedValues {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<NamedValues, D::Error> {
        deserializer.deserialize_map(NamedValuesVisitor)
    }
}

struct NamedValuesVisitor;

impl<'de> Visitor<'de> for NamedValuesVisitor {
    type Value = NamedValues;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("names with their values")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<NamedValues, A::Error> {
        let mut values = Vec::new();
        while let Some((name, value)) = map.next_entry::<Box<str>, Box<RawValue>>()? {
            values.push(NamedValue { name, value: value.into() });
            check_count::<A::Error>(values.len())?;
        }
        Ok(NamedValues(values))
    }
}

/// Names of a section in the order in which they were received, duplicates included.
#[derive(Default)]
pub(crate) struct Names(pub(crate) Vec<Box<str>>);

impl<'de> Deserialize<'de> for Names {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Names, D::Error> {
        deserializer.deserialize_seq(NamesVisitor)
    }
}

struct NamesVisitor;

impl<'de> Visitor<'de> for NamesVisitor {
    type Value = Names;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("names")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Names, A::Error> {
        let mut names = Vec::new();
        while let Some(name) = sequence.next_element()? {
            names.push(name);
            check_count::<A::Error>(names.len())?;
        }
        Ok(Names(names))
    }
}

/// Rejects a section with too many entries while it is read, as small entries take several times the bytes of their
/// text in memory.
fn check_count<E: serde::de::Error>(entries: usize) -> Result<(), E> {
    if entries > MAX_ENTRIES {
        return Err(E::custom(format_args!("more than {MAX_ENTRIES} entries in a section")));
    }
    Ok(())
}
