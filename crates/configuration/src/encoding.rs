//! Encodes messages as JSON text.

use crate::entry::{Entry, Key, Section};
use crate::message::Message;

/// Encodes a message as JSON text. Within a section, entries are written in the order in which the message holds them.
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
        Message::FullDocument(document) => {
            text.push_str(&format!(r#"{{"kind":"whole","version":"{}","entries":"#, document.version));
            write_entries(&mut text, &document.entries);
            text.push_str(&format!(r#","checksum":"{}"}}"#, document.checksum));
        }
    }
    text
}

/// The brackets around the items of a section.
#[derive(Clone, Copy)]
struct Brackets {
    open: char,
    close: char,
}

const OBJECT: Brackets = Brackets { open: '{', close: '}' };
const ARRAY: Brackets = Brackets { open: '[', close: ']' };

fn write_entries(text: &mut String, entries: &[Entry]) {
    let write_entry = |text: &mut String, entry: &Entry| {
        push_quoted(text, &entry.key.name);
        text.push(':');
        text.push_str(&entry.value);
    };
    write_sections(text, entries, OBJECT, |entry| entry.key.section, write_entry);
}

fn write_keys(text: &mut String, keys: &[Key]) {
    write_sections(text, keys, ARRAY, |key| key.section, |text, key| push_quoted(text, &key.name));
}

/// Writes an object with a key for each section that has items.
fn write_sections<T>(
    text: &mut String, items: &[T], brackets: Brackets, section_of: impl Fn(&T) -> Section,
    write_item: impl Fn(&mut String, &T),
) {
    text.push('{');
    let mut is_first = true;
    for section in Section::ALL {
        let mut section_items = items.iter().filter(|item| section_of(item) == section).peekable();
        if section_items.peek().is_none() {
            continue;
        }
        if !is_first {
            text.push(',');
        }
        is_first = false;
        push_quoted(text, section.label());
        text.push(':');
        text.push(brackets.open);
        while let Some(item) = section_items.next() {
            write_item(text, item);
            if section_items.peek().is_some() {
                text.push(',');
            }
        }
        text.push(brackets.close);
    }
    text.push('}');
}

fn push_quoted(text: &mut String, name: &str) {
    text.push_str(&serde_json::Value::from(name).to_string());
}
