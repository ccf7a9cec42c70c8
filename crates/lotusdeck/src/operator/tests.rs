//! Tests that each key of the plain tables is read, that its default applies if it is absent, and that the documents
//! describe it in the same way; that arrays of tables are read, and that their faults have an offset.

use super::fleet::parse_members;
use super::keys::{tables, ValueType, KEYS};
use super::limit::MAX_LIMITS;
use super::{limit, postgres, FleetMember, OperatorFile};

#[test]
fn every_key_is_read_and_its_default_applies_if_it_is_absent() {
    for key in &KEYS {
        let (table, name) = key.path.split_once('.').unwrap();
        let with = |value: &str| OperatorFile::parse(&format!("[{table}]\n{name} = {value}\n"));
        assert_eq!(with(&key.value_type.default()), Ok(OperatorFile::default()), "{}", key.path);
        let (other, wrong) = match key.value_type {
            ValueType::Number { min, max, .. } => (max.to_string(), vec![min - 1, max + 1]),
            ValueType::Choice(words) => (format!("{:?}", words[1]), vec![1]),
            ValueType::Text => ("\"x\"".into(), vec![1]),
            ValueType::Address => ("\"127.0.0.1:7400\"".into(), vec![1]),
            ValueType::Members => ("\"0@127.0.0.1:7400\"".into(), vec![1]),
        };
        let read = with(&other);
        assert!(read.is_ok() && read != Ok(OperatorFile::default()), "{}", key.path);
        assert!(wrong.iter().all(|value| with(&value.to_string()).is_err()), "{}", key.path);
    }
    assert_eq!(OperatorFile::parse(""), Ok(OperatorFile::default()));
}

/// Checks that all faults are reported at once, in the order of the text, with their offsets.
#[test]
fn all_faults_are_reported_at_once() {
    let text = "[http]\nanswer_gap = 5\nupload_stall_ms = \"x\"\nanswer_silence_ms = 1\n[htpp]\nx = 1\n";
    let faults = OperatorFile::parse(text).unwrap_err();
    let messages: Vec<&str> = faults.iter().map(|fault| fault.message.as_str()).collect();
    assert_eq!(
        messages,
        [
            "http.answer_gap: no such key; did you mean http.answer_gap_ms?",
            "http.upload_stall_ms: expected a whole number of ms from 50 to 60000, got \"x\"",
            "http.answer_silence_ms: expected a whole number of ms from 100 to 600000, got 1",
            "htpp: no such table; did you mean http?",
        ]
    );
    assert_eq!(&text[faults[3].offset..faults[3].offset + 4], "htpp");
    assert!(!OperatorFile::parse("[http\n").unwrap_err().is_empty());
}

/// Checks that docs/configuration.md lists every key with the range, default and meaning of the table of keys.
#[test]
fn the_page_describes_every_key_as_the_table_does() {
    let page = include_str!("../../../../docs/configuration.md");
    for key in &KEYS {
        let row = format!(
            "| `{}` | {} | {} | {} |",
            key.path,
            key.value_type.expected(),
            key.value_type.default(),
            key.description
        );
        assert!(page.contains(&row), "docs/configuration.md lacks this row:\n{row}");
    }
    let rows =
        page.lines().filter(|line| tables().any(|table| line.starts_with(&format!("| `{table}.")))).count();
    assert_eq!(rows, KEYS.len());
}

/// Checks that deploy/operator.toml names every key with its default, and reads as the defaults.
#[test]
fn the_deployed_file_contains_the_defaults() {
    let text = include_str!("../../../../deploy/operator.toml");
    assert_eq!(OperatorFile::parse(text), Ok(OperatorFile::default()));
    for key in &KEYS {
        let (_, name) = key.path.split_once('.').unwrap();
        assert!(text.contains(&format!("{name} = {}", key.value_type.default())), "{}", key.path);
    }
}

#[test]
fn limits_are_read_and_faults_have_an_offset() {
    let text = "[[limit]]\nname = \"all\"\nrate_per_s = 100\n\n[[limit]]\nname = \"b\"\nin_flight = 5\nclass = \"page\"\n";
    let limits = limit::parse(text).unwrap();
    assert!(limits.len() == 2 && limits[0].rate_per_s == Some(100.0) && limits[1].in_flight == Some(5));
    assert_eq!(limit::parse("[http]\n"), Ok(Vec::new()));
    for (from, to, expected) in [
        ("rate_per_s = 100", "rate_per_s = 0", "above 0"),
        ("rate_per_s = 100", "rate_per_s = nan", "above 0"),
        ("rate_per_s = 100", "", "rate_per_s, in_flight or both"),
        ("in_flight = 5", "in_flight = 0", "1 at least"),
        ("\"b\"", "\"all\"", "once"),
        ("class", "klass", "klass"),
    ] {
        let fault = limit::parse(&text.replace(from, to)).unwrap_err();
        assert!(fault.message.contains(expected), "{expected}: {}", fault.message);
    }
    let many = |count| (0..count).map(|n| format!("[[limit]]\nname = \"{n}\"\nrate_per_s = 1\n")).collect();
    let (at_limit, over_limit): (String, String) = (many(MAX_LIMITS), many(MAX_LIMITS + 1));
    assert_eq!(limit::parse(&at_limit).map(|limits| limits.len()), Ok(MAX_LIMITS));
    assert!(limit::parse(&over_limit).unwrap_err().message.contains("4096 limits at most"));
    let offset = limit::parse(&text.replace("\"b\"", "\"all\"")).unwrap_err().offset;
    assert!(text[offset..].starts_with("[[limit]]") && offset > 0, "{offset}");
}

#[test]
fn members_are_positions_and_addresses() {
    let one = FleetMember { position: 3, address: "10.0.0.1:7400".parse().unwrap() };
    assert_eq!(parse_members(" 3@10.0.0.1:7400  "), Some(vec![one]));
    assert_eq!(parse_members(""), Some(Vec::new()));
    for wrong in ["10.0.0.1:7400", "x@10.0.0.1:7400", "3@10.0.0.1", "3@10.0.0.1:7400,4@10.0.0.2:1"] {
        assert_eq!(parse_members(wrong), None, "{wrong}");
    }
}

const POSTGRES: &str = r#"
[[postgres]]
listen = "127.0.0.1:6432"
databases = ["scores"]
user = [{ name = "ann", verifier = "SCRAM-SHA-256$4096:c2FsdA==$BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=:BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=" }]
login = { user = "deck", database = "scores" }
server = [{ name = "pg-1", address = "127.0.0.1:5433" }]
"#;

#[test]
fn postgres_fronts_are_read_and_faults_have_an_offset() {
    let sections = postgres::parse(POSTGRES).unwrap();
    assert!(sections.len() == 1 && sections[0].connections == 40 && sections[0].deadline_ms == 30_000);
    assert_eq!(postgres::parse("[http]\n"), Ok(Vec::new()));
    for (from, to, expected) in [
        ("127.0.0.1:6432", "0.0.0.0:6432", "loopback"),
        ("server = [{ name = \"pg-1\", address = \"127.0.0.1:5433\" }]", "", "either discovery"),
        ("SCRAM-SHA-256$4096", "md5", "expected SCRAM-SHA-256"),
        ("databases = [\"scores\"]", "databases = []", "one at least"),
        ("databases", "databaess", "databaess"),
    ] {
        let fault = postgres::parse(&POSTGRES.replace(from, to)).unwrap_err();
        assert!(fault.message.contains(expected), "{}", fault.message);
    }
    let wrong = POSTGRES.replace("deck\"", "deck\", pass = 1");
    let fault = postgres::parse(&wrong).unwrap_err();
    assert!(wrong[fault.offset..].starts_with("pass"), "at {}: {}", fault.offset, fault.message);
}
