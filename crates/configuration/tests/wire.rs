//! The exact text of each kind of message, so that sources and followers of different program versions stay compatible.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::{decode, encode, Entry, Key, Message, Section, Source, Version};
use serde_json::json;

const EPOCH: u64 = 1_000;

const UNCHANGED: &str = r#"{"kind":"unchanged","version":"1000-1"}"#;

const FULL_DOCUMENT: &str = concat!(
    r#"{"kind":"whole","version":"1000-1","entries":{"base":{"rules":{"cold_from":0.5},"zones":["b","a"]},"#,
    r#""profiles":{"a\"b":{"aim_us":1},"page":{"aim_us":250000}},"#,
    r#""customers":{"north":{"quota_rps":50.0},"south":{"quota_rps":1}}},"#,
    r#""checksum":"5422f6a00d3d9f1f0a0f0658c14a94e9"}"#,
);

const DELTA: &str = concat!(
    r#"{"kind":"delta","from":"1000-1","to":"1000-2","#,
    r#""changed":{"base":{"zones":["c"]},"customers":{"north":{"quota_rps":7}}},"#,
    r#""removed":{"customers":["south"]},"checksum":"244a4b3e4d93ea144577b851fb12ba71"}"#,
);

fn source() -> Source {
    let settings = json!({
        "zones": ["b", "a"],
        "rules": {"cold_from": 0.5},
        "profiles": [{"name": "page", "aim_us": 250_000}, {"name": "a\"b", "aim_us": 1}],
        "customers": [{"name": "north", "quota_rps": 50.0}, {"name": "south", "quota_rps": 1}],
    });
    Source::new(EPOCH, &settings, HistoryBounds::default(), |_| Ok(())).unwrap()
}

fn assert_text(message: &Message, text: &str) {
    assert_eq!(encode(message), text);
    assert_eq!(&decode(text.as_bytes()).unwrap(), message);
}

#[test]
fn unchanged_message_has_its_fixed_text() {
    assert_text(&Message::Unchanged(source().version()), UNCHANGED);
}

#[test]
fn full_document_message_has_its_fixed_text() {
    assert_text(&Message::FullDocument(source().full_document()), FULL_DOCUMENT);
}

#[test]
fn delta_message_has_its_fixed_text() {
    let mut source = source();
    let entry = |section, name, value: &str| Entry { key: Key::new(section, name), value: value.into() };
    let changed = vec![
        entry(Section::Base, "zones", r#"["c"]"#),
        entry(Section::Customers, "north", r#"{"quota_rps":7}"#),
    ];
    let removed = vec![Key::new(Section::Customers, "south")];
    source.publish_changes(changed, removed, |_| Ok(())).unwrap();
    let delta = source.delta(Version::first(EPOCH)).unwrap();
    assert_text(&Message::Delta(delta), DELTA);
}
