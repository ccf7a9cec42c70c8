//! Decodes messages. Decoding is strict: unknown keys, keys that do not belong to the kind of message and duplicate
//! entries are errors.

use crate::delta::{Delta, FullDocument};
use crate::document::MAX_ENTRIES;
use crate::entry::{Entry, Key};
use crate::message::{Message, MessageError, MAX_MESSAGE_BYTES};
use crate::message_fields::{MessageFields, NamedValues, Names, Parsed, Sections};

/// Maximum characters of an unknown kind in an error message.
const MAX_QUOTED_CHARS: usize = 24;

/// Decodes a message from JSON text.
///
/// # Errors
/// Returns the first error found in the text.
pub fn decode(text: &[u8]) -> Result<Message, MessageError> {
    if text.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong(text.len()));
    }
    let fields: MessageFields = serde_json::from_slice(text)?;
    match fields.kind.as_str() {
        "unchanged" => fields.into_unchanged(),
        "delta" => fields.into_delta(),
        "whole" => fields.into_full_document(),
        kind => Err(MessageError::UnknownKind(kind.chars().take(MAX_QUOTED_CHARS).collect())),
    }
}

/// A key and whether the message has it.
struct KeyPresence {
    key: &'static str,
    is_present: bool,
}

impl KeyPresence {
    fn of<T>(key: &'static str, value: &Option<T>) -> KeyPresence {
        KeyPresence { key, is_present: value.is_some() }
    }
}

impl MessageFields {
    fn reject_present(&self, keys: &[KeyPresence]) -> Result<(), MessageError> {
        match keys.iter().find(|key| key.is_present) {
            Some(present) => Err(MessageError::UnexpectedKey { key: present.key, kind: self.kind.clone() }),
            None => Ok(()),
        }
    }

    fn into_unchanged(self) -> Result<Message, MessageError> {
        self.reject_present(&[
            KeyPresence::of("from", &self.from),
            KeyPresence::of("to", &self.to),
            KeyPresence::of("checksum", &self.checksum),
            KeyPresence::of("entries", &self.entries),
            KeyPresence::of("changed", &self.changed),
            KeyPresence::of("removed", &self.removed),
        ])?;
        Ok(Message::Unchanged(required(self.version, "version", &self.kind)?))
    }

    fn into_delta(self) -> Result<Message, MessageError> {
        self.reject_present(&[
            KeyPresence::of("version", &self.version),
            KeyPresence::of("entries", &self.entries),
        ])?;
        let changed = sorted_entries(self.changed.unwrap_or_default())?;
        let removed = sorted_keys(self.removed.unwrap_or_default())?;
        let mut all_keys: Vec<&Key> = changed.iter().map(|entry| &entry.key).chain(&removed).collect();
        all_keys.sort_unstable();
        reject_duplicates(all_keys.iter().copied())?;
        Ok(Message::Delta(Delta {
            from: required(self.from, "from", &self.kind)?,
            to: required(self.to, "to", &self.kind)?,
            checksum: required(self.checksum, "checksum", &self.kind)?,
            changed,
            removed,
        }))
    }

    fn into_full_document(self) -> Result<Message, MessageError> {
        self.reject_present(&[
            KeyPresence::of("from", &self.from),
            KeyPresence::of("to", &self.to),
            KeyPresence::of("changed", &self.changed),
            KeyPresence::of("removed", &self.removed),
        ])?;
        let Some(sections) = self.entries else {
            return Err(MessageError::MissingKey { key: "entries", kind: self.kind });
        };
        Ok(Message::FullDocument(FullDocument {
            version: required(self.version, "version", &self.kind)?,
            checksum: required(self.checksum, "checksum", &self.kind)?,
            entries: sorted_entries(sections)?,
        }))
    }
}

fn required<T>(value: Option<Parsed<T>>, key: &'static str, kind: &str) -> Result<T, MessageError> {
    let Some(Parsed(value)) = value else {
        return Err(MessageError::MissingKey { key, kind: kind.into() });
    };
    Ok(value)
}

/// Collects the entries of all sections ordered by key, and rejects duplicates.
fn sorted_entries(sections: Sections<NamedValues>) -> Result<Vec<Entry>, MessageError> {
    let mut entries = Vec::new();
    for (section, values) in sections.into_items() {
        for named in values.0 {
            entries.push(Entry { key: Key { section, name: named.name }, value: named.value });
        }
    }
    if entries.len() > MAX_ENTRIES {
        return Err(MessageError::TooManyEntries(entries.len()));
    }
    entries.sort_unstable_by(|a, b| a.key.cmp(&b.key));
    reject_duplicates(entries.iter().map(|entry| &entry.key))?;
    Ok(entries)
}

/// Collects the keys of all sections in order, and rejects duplicates.
fn sorted_keys(sections: Sections<Names>) -> Result<Vec<Key>, MessageError> {
    let mut keys = Vec::new();
    for (section, names) in sections.into_items() {
        keys.extend(names.0.into_iter().map(|name| Key { section, name }));
    }
    if keys.len() > MAX_ENTRIES {
        return Err(MessageError::TooManyEntries(keys.len()));
    }
    keys.sort_unstable();
    reject_duplicates(keys.iter())?;
    Ok(keys)
}

fn reject_duplicates<'a>(mut sorted: impl Iterator<Item = &'a Key>) -> Result<(), MessageError> {
    let Some(mut previous) = sorted.next() else { return Ok(()) };
    for key in sorted {
        if key == previous {
            return Err(MessageError::DuplicateEntry(key.clone()));
        }
        previous = key;
    }
    Ok(())
}
