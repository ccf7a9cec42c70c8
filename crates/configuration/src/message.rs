//! Messages between source and follower, as JSON text.
//!
//! ```text
//! {"kind":"unchanged","version":"E-N"}
//! {"kind":"delta","from":"E-N","to":"E-N","changed":{"profiles":{"NAME":{...}}},"removed":{"customers":["NAME"]},"checksum":"HEX"}
//! {"kind":"whole","version":"E-N","entries":{"base":{"KEY":...},"profiles":{...},"customers":{...}},"checksum":"HEX"}
//! ```
//!
//! Values of entries go through as the texts that the source hashed. Whatever is not exactly of this form is refused:
//! an unknown key, a key that its kind does not have, a name told twice.

use crate::checksum::Checksum;
use crate::delta::{Delta, Entry, FullDocument};
use crate::document::{Key, Section, MAX_DOCUMENT_BYTES, MAX_ENTRIES};
use crate::version::Version;
use serde::de::{Error as _, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::fmt;
use thiserror::Error;

/// The longest message, bytes: the largest document, with quotes and escapes around its names.
pub const MAX_MESSAGE_BYTES: usize = MAX_DOCUMENT_BYTES + MAX_DOCUMENT_BYTES / 2;

/// What the source says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The latest version; nothing later than what was asked after.
    Unchanged(Version),
    /// A change.
    Delta(Delta),
    /// All of it.
    FullDocument(FullDocument),
}

/// Why a text is no message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It is longer than any message.
    #[error("expected at most {MAX_MESSAGE_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// It is not of the form.
    #[error("expected a message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It lacks a key that its kind has.
    #[error("{0}: missing in a message of kind {1}")]
    MissingKey(&'static str, String),
    /// It has a key that its kind has not.
    #[error("{0}: not a key of a message of kind {1}")]
    UnexpectedKey(&'static str, String),
    /// No such kind.
    #[error("kind: expected unchanged, delta or whole, got {0:?}")]
    UnknownKind(String),
    /// It tells an entry twice.
    #[error("{0}: told twice")]
    DuplicateEntry(Key),
    /// It tells more entries than a document holds.
    #[error("expected at most {MAX_ENTRIES} entries, got {0}")]
    TooManyEntries(usize),
}

/// The keys of all kinds.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    kind: String,
    version: Option<Text<Version>>,
    from: Option<Text<Version>>,
    to: Option<Text<Version>>,
    checksum: Option<Text<Checksum>>,
    entries: Option<Sections<Values>>,
    changed: Option<Sections<Values>>,
    removed: Option<Sections<Names>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Sections<T: Default> {
    base: T,
    profiles: T,
    customers: T,
}

impl<T: Default> Default for Sections<T> {
    fn default() -> Sections<T> {
        Sections { base: T::default(), profiles: T::default(), customers: T::default() }
    }
}

impl<T: Default> Sections<T> {
    fn parts(self) -> [(Section, T); 3] {
        [(Section::Base, self.base), (Section::Profiles, self.profiles), (Section::Customers, self.customers)]
    }
}

/// A value that is written as text.
struct Text<T>(T);

impl<'de, T: std::str::FromStr<Err: fmt::Display>> Deserialize<'de> for Text<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Text<T>, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Text).map_err(D::Error::custom)
    }
}

/// Names and values in the order in which they came, doubles among them.
#[derive(Default)]
struct Values(Vec<(Box<str>, Box<str>)>);

impl<'de> Deserialize<'de> for Values {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Values, D::Error> {
        deserializer.deserialize_map(ValuesVisitor)
    }
}

struct ValuesVisitor;

impl<'de> Visitor<'de> for ValuesVisitor {
    type Value = Values;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("names with their values")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Values, A::Error> {
        let mut values = Vec::new();
        while let Some((name, value)) = map.next_entry::<Box<str>, Box<RawValue>>()? {
            values.push((name, value.into()));
            within_bound::<A::Error>(values.len())?;
        }
        Ok(Values(values))
    }
}

/// Names in the order in which they came, doubles among them.
#[derive(Default)]
struct Names(Vec<Box<str>>);

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
            within_bound::<A::Error>(names.len())?;
        }
        Ok(Names(names))
    }
}

/// Reading ends where there are too many: small entries take several times their text's bytes in memory.
fn within_bound<E: serde::de::Error>(entries: usize) -> Result<(), E> {
    match entries <= MAX_ENTRIES {
        true => Ok(()),
        false => Err(E::custom(format_args!("more than {MAX_ENTRIES} entries in a section"))),
    }
}

/// The message of a text.
///
/// # Errors
/// The first thing that is wrong with it; nothing of it may be used then.
pub fn decode(text: &[u8]) -> Result<Message, MessageError> {
    if text.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong(text.len()));
    }
    let form: Form = serde_json::from_slice(text)?;
    match form.kind.as_str() {
        "unchanged" => form.unchanged(),
        "delta" => form.delta(),
        "whole" => form.whole(),
        _ => Err(MessageError::UnknownKind(form.kind.chars().take(MOST_QUOTED).collect())),
    }
}

/// Characters of an unknown kind that an error repeats.
const MOST_QUOTED: usize = 24;

impl Form {
    fn foreign(&self, keys: &[(&'static str, bool)]) -> Result<(), MessageError> {
        let found = keys.iter().find(|(_, present)| *present);
        found.map_or(Ok(()), |(key, _)| Err(MessageError::UnexpectedKey(key, self.kind.clone())))
    }

    fn unchanged(self) -> Result<Message, MessageError> {
        self.foreign(&[
            ("from", self.from.is_some()),
            ("to", self.to.is_some()),
            ("checksum", self.checksum.is_some()),
            ("entries", self.entries.is_some()),
            ("changed", self.changed.is_some()),
            ("removed", self.removed.is_some()),
        ])?;
        Ok(Message::Unchanged(required(self.version, "version", &self.kind)?))
    }

    fn delta(self) -> Result<Message, MessageError> {
        self.foreign(&[("version", self.version.is_some()), ("entries", self.entries.is_some())])?;
        let changed = entries(self.changed.unwrap_or_default())?;
        let removed = keys(self.removed.unwrap_or_default())?;
        let mut told: Vec<&Key> = changed.iter().map(|entry| &entry.key).chain(&removed).collect();
        told.sort_unstable();
        each_once(told.iter().copied())?;
        Ok(Message::Delta(Delta {
            from: required(self.from, "from", &self.kind)?,
            to: required(self.to, "to", &self.kind)?,
            checksum: required(self.checksum, "checksum", &self.kind)?,
            changed,
            removed,
        }))
    }

    fn whole(self) -> Result<Message, MessageError> {
        self.foreign(&[
            ("from", self.from.is_some()),
            ("to", self.to.is_some()),
            ("changed", self.changed.is_some()),
            ("removed", self.removed.is_some()),
        ])?;
        let sections = self.entries.ok_or_else(|| MessageError::MissingKey("entries", self.kind.clone()))?;
        Ok(Message::FullDocument(FullDocument {
            version: required(self.version, "version", &self.kind)?,
            checksum: required(self.checksum, "checksum", &self.kind)?,
            entries: entries(sections)?,
        }))
    }
}

fn required<T>(value: Option<Text<T>>, key: &'static str, kind: &str) -> Result<T, MessageError> {
    value.map(|text| text.0).ok_or_else(|| MessageError::MissingKey(key, kind.into()))
}

/// Ordered by key, each once.
fn entries(sections: Sections<Values>) -> Result<Vec<Entry>, MessageError> {
    let mut entries = Vec::new();
    for (section, values) in sections.parts() {
        let entry = |(name, value)| Entry { key: Key { section, name }, value };
        entries.extend(values.0.into_iter().map(entry));
    }
    if entries.len() > MAX_ENTRIES {
        return Err(MessageError::TooManyEntries(entries.len()));
    }
    entries.sort_unstable_by(|a, b| a.key.cmp(&b.key));
    each_once(entries.iter().map(|entry| &entry.key))?;
    Ok(entries)
}

fn keys(sections: Sections<Names>) -> Result<Vec<Key>, MessageError> {
    let mut keys = Vec::new();
    for (section, names) in sections.parts() {
        keys.extend(names.0.into_iter().map(|name| Key { section, name }));
    }
    if keys.len() > MAX_ENTRIES {
        return Err(MessageError::TooManyEntries(keys.len()));
    }
    keys.sort_unstable();
    each_once(keys.iter())?;
    Ok(keys)
}

fn each_once<'a>(mut ordered: impl Iterator<Item = &'a Key>) -> Result<(), MessageError> {
    let Some(mut before) = ordered.next() else { return Ok(()) };
    for key in ordered {
        if key == before {
            return Err(MessageError::DuplicateEntry(key.clone()));
        }
        before = key;
    }
    Ok(())
}

/// The text of a message. Entries are written in their order.
pub fn encode(message: &Message) -> String {
    let mut text = String::new();
    match message {
        Message::Unchanged(version) => {
            text.push_str(&format!(r#"{{"kind":"unchanged","version":"{version}"}}"#));
        }
        Message::Delta(delta) => {
            text.push_str(&format!(r#"{{"kind":"delta","from":"{}","to":"{}""#, delta.from, delta.to));
            text.push_str(r#","changed":"#);
            write_entries(&mut text, &delta.changed);
            text.push_str(r#","removed":"#);
            write_keys(&mut text, &delta.removed);
            text.push_str(&format!(r#","checksum":"{}"}}"#, delta.checksum));
        }
        Message::FullDocument(whole) => {
            text.push_str(&format!(r#"{{"kind":"whole","version":"{}","entries":"#, whole.version));
            write_entries(&mut text, &whole.entries);
            text.push_str(&format!(r#","checksum":"{}"}}"#, whole.checksum));
        }
    }
    text
}

fn write_entries(text: &mut String, entries: &[Entry]) {
    write_sections(
        text,
        entries,
        ['{', '}'],
        |entry| entry.key.section,
        |text, entry| {
            push_quoted(text, &entry.key.name);
            text.push(':');
            text.push_str(&entry.value);
        },
    );
}

fn write_keys(text: &mut String, keys: &[Key]) {
    write_sections(text, keys, ['[', ']'], |key| key.section, |text, key| push_quoted(text, &key.name));
}

/// One object of sections that have any items, each item written by `write`.
fn write_sections<T>(
    text: &mut String, items: &[T], [open, close]: [char; 2], section_of: impl Fn(&T) -> Section,
    write: impl Fn(&mut String, &T),
) {
    text.push('{');
    let mut first = true;
    for section in Section::ALL {
        let mut of_section = items.iter().filter(|item| section_of(item) == section).peekable();
        if of_section.peek().is_none() {
            continue;
        }
        if !std::mem::take(&mut first) {
            text.push(',');
        }
        push_quoted(text, section.label());
        text.push(':');
        text.push(open);
        while let Some(item) = of_section.next() {
            write(text, item);
            if of_section.peek().is_some() {
                text.push(',');
            }
        }
        text.push(close);
    }
    text.push('}');
}

fn push_quoted(text: &mut String, name: &str) {
    text.push_str(&serde_json::Value::from(name).to_string());
}
