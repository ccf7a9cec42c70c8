//! Each key of the table is read, its default holds without it, and the documents say the same of it.

use super::keys::{tables, ValueType, KEYS};
use super::Operator;

#[test]
fn every_key_is_read_and_its_default_is_what_holds_without_it() {
    for key in &KEYS {
        let (table, name) = key.path.split_once('.').unwrap();
        let with = |value: &str| Operator::parse(&format!("[{table}]\n{name} = {value}\n"));
        assert_eq!(with(&key.value_type.default()), Ok(Operator::default()), "{}", key.path);
        let (other, wrong) = match key.value_type {
            ValueType::Number { least, most, .. } => (most.to_string(), vec![least - 1, most + 1]),
            ValueType::Choice(words) => (format!("{:?}", words[1]), vec![1]),
            ValueType::Text => ("\"x\"".into(), vec![1]),
            ValueType::Address => ("\"127.0.0.1:7400\"".into(), vec![1]),
            ValueType::Members => ("\"0@127.0.0.1:7400\"".into(), vec![1]),
        };
        let read = with(&other);
        assert!(read.is_ok() && read != Ok(Operator::default()), "{}", key.path);
        assert!(wrong.iter().all(|w| with(&w.to_string()).is_err()), "{}", key.path);
    }
    assert_eq!(Operator::parse(""), Ok(Operator::default()));
}

/// All faults are told, in their order, each with its place.
#[test]
fn all_faults_are_told_at_once() {
    let text = "[http]\nanswer_gap = 5\nupload_stall_ms = \"x\"\nanswer_silence_ms = 1\n[htpp]\nx = 1\n";
    let faults = Operator::parse(text).unwrap_err();
    let told: Vec<&str> = faults.iter().map(|f| f.text.as_str()).collect();
    assert_eq!(
        told,
        [
            "http.answer_gap: no such key; did you mean http.answer_gap_ms?",
            "http.upload_stall_ms: expected a whole number of ms from 50 to 60000, got \"x\"",
            "http.answer_silence_ms: expected a whole number of ms from 100 to 600000, got 1",
            "htpp: no such table; did you mean http?",
        ]
    );
    assert_eq!(&text[faults[3].at..faults[3].at + 4], "htpp");
    assert!(!Operator::parse("[http\n").unwrap_err().is_empty());
}

/// The operators' page and the code say the same of every key.
#[test]
fn the_page_lists_every_key_as_it_is() {
    let page = include_str!("../../../../docs/configuration.md");
    for k in &KEYS {
        let row = format!(
            "| `{}` | {} | {} | {} |",
            k.path,
            k.value_type.expected(),
            k.value_type.default(),
            k.about
        );
        assert!(page.contains(&row), "docs/configuration.md lacks this row:\n{row}");
    }
    let rows = page.lines().filter(|l| tables().any(|t| l.starts_with(&format!("| `{t}.")))).count();
    assert_eq!(rows, KEYS.len());
}

/// The file under deploy/ changes nothing as it stands, and names every key.
#[test]
fn the_deployed_file_holds_the_defaults() {
    let text = include_str!("../../../../deploy/operator.toml");
    assert_eq!(Operator::parse(text), Ok(Operator::default()));
    for k in &KEYS {
        let (_, name) = k.path.split_once('.').unwrap();
        assert!(text.contains(&format!("{name} = {}", k.value_type.default())), "{}", k.path);
    }
}
