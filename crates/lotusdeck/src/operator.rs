//! The operator file: what an installation sets for itself, as TOML. Every key is optional; without one, or without
//! the file, all is as the defaults say.

use lotusdeck_proxy::pauses::Pauses;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One key: all that is said of it in docs/configuration.md.
pub struct Key {
    /// Table and name.
    pub path: &'static str,
    /// What its number counts.
    pub unit: &'static str,
    /// Least and most.
    pub range: (i64, i64),
    /// What holds where it is absent.
    pub default: i64,
    /// What it does.
    pub about: &'static str,
}

/// Every key that there is.
pub const KEYS: [Key; 4] = [
    Key {
        path: "http.answer_gap_ms",
        unit: "ms",
        range: (10, 60_000),
        default: 300,
        about: "an answer that has begun and rests for longer is a failed attempt",
    },
    Key {
        path: "http.answer_silence_ms",
        unit: "ms",
        range: (100, 600_000),
        default: 10_000,
        about: "a large answer on its way to the client that rests for longer is cut",
    },
    Key {
        path: "http.upload_stall_ms",
        unit: "ms",
        range: (50, 60_000),
        default: 1_500,
        about: "a client whose body rests for longer is answered 408",
    },
    Key {
        path: "http.upload_unread_ms",
        unit: "ms",
        range: (50, 60_000),
        default: 3_000,
        about: "a backend that takes nothing of a body for longer has gone",
    },
];

/// What the file says, defaults filled in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    /// `[http]`.
    pub pauses: Pauses,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Offset of the byte at fault.
    pub at: usize,
    /// Where and what, in words.
    pub text: String,
}

/// Why a file was not taken.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// It cannot be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// Something in it is wrong: the first fault, and how many there are.
    #[error("{0}: {1} ({2} faults in all; `lotusdeck check` tells each)")]
    Faults(PathBuf, String, usize),
}

fn kind(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number with a fraction",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}

/// The nearest known name, where one is near.
fn near<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.map(|k| (strsim::normalized_damerau_levenshtein(name, k), k));
    scored.filter(|s| s.0 >= 0.6).max_by(|a, b| a.0.total_cmp(&b.0)).map(|s| s.1)
}

fn unknown<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    match near(name, known) {
        Some(near) => format!("{name}: no such {what}; did you mean {near}?"),
        None => format!("{name}: no such {what}"),
    }
}

fn tables() -> impl Iterator<Item = &'static str> {
    KEYS.iter().filter_map(|k| k.path.split_once('.').map(|p| p.0))
}

fn value(path: &str, value: &Spanned<DeValue>) -> Result<i64, Fault> {
    let at = value.span().start;
    let Some(key) = KEYS.iter().find(|k| k.path == path) else {
        return Err(Fault { at, text: unknown("key", path, KEYS.iter().map(|k| k.path)) });
    };
    let (least, most) = key.range;
    let expected = |got: String| {
        let text =
            format!("{path}: expected a whole number of {} from {least} to {most}, got {got}", key.unit);
        Fault { at, text }
    };
    let DeValue::Integer(n) = value.get_ref() else {
        return Err(expected(kind(value.get_ref()).into()));
    };
    let digits: String = n.as_str().chars().filter(|c| *c != '_').collect();
    let got = i64::from_str_radix(&digits, n.radix()).ok().filter(|n| (least..=most).contains(n));
    got.ok_or_else(|| expected(n.as_str().into()))
}

impl Operator {
    /// Reads a text.
    ///
    /// # Errors
    /// All faults at once, in their order.
    pub fn parse(text: &str) -> Result<Operator, Vec<Fault>> {
        let (root, broken) = DeTable::parse_recoverable(text);
        let offset = |e: &toml::de::Error| e.span().map_or(0, |s| s.start);
        let mut faults: Vec<Fault> =
            broken.iter().map(|e| Fault { at: offset(e), text: e.message().into() }).collect();
        let mut operator = Operator::default();
        for (table, entry) in root.get_ref() {
            let name = table.get_ref();
            let DeValue::Table(keys) = entry.get_ref() else {
                let text = match tables().any(|t| t == name.as_ref()) {
                    true => format!("{name}: expected a table, got {}", kind(entry.get_ref())),
                    false => unknown("table", name, tables()),
                };
                faults.push(Fault { at: table.span().start, text });
                continue;
            };
            if !tables().any(|t| t == name.as_ref()) {
                faults.push(Fault { at: table.span().start, text: unknown("table", name, tables()) });
                continue;
            }
            for (key, entry) in keys {
                let path = format!("{name}.{}", key.get_ref());
                match value(&path, entry) {
                    Ok(n) => operator.set(&path, n),
                    Err(fault) => faults.push(fault),
                }
            }
        }
        faults.sort_by_key(|f| f.at);
        if faults.is_empty() {
            Ok(operator)
        } else {
            Err(faults)
        }
    }

    /// Reads a file; none given means the defaults.
    ///
    /// # Errors
    /// Where anything is wrong nothing of it is taken.
    pub fn load(path: Option<&Path>) -> Result<Operator, OperatorError> {
        let Some(path) = path else { return Ok(Operator::default()) };
        let unreadable = |e| OperatorError::Unreadable(path.into(), e);
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        Operator::parse(&text).map_err(|faults| {
            let first = faults.first().map(|f| f.text.clone()).unwrap_or_default();
            OperatorError::Faults(path.into(), first, faults.len())
        })
    }

    fn set(&mut self, path: &str, n: i64) {
        let span = Duration::from_millis(n.unsigned_abs());
        match path {
            "http.answer_gap_ms" => self.pauses.answer_gap = span,
            "http.answer_silence_ms" => self.pauses.answer_silence = span,
            "http.upload_stall_ms" => self.pauses.upload_stall = span,
            "http.upload_unread_ms" => self.pauses.upload_unread = span,
            _ => unreachable!("a key of the list that nobody reads: {path}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_key_is_read_and_its_default_is_what_holds_without_it() {
        for key in &KEYS {
            let (table, name) = key.path.split_once('.').unwrap();
            let with = |n: i64| Operator::parse(&format!("[{table}]\n{name} = {n}\n"));
            assert_eq!(with(key.default), Ok(Operator::default()), "{}", key.path);
            assert_ne!(with(key.range.1), Ok(Operator::default()), "{}", key.path);
            assert!(with(key.range.0 - 1).is_err() && with(key.range.1 + 1).is_err(), "{}", key.path);
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
                "http.upload_stall_ms: expected a whole number of ms from 50 to 60000, got text",
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
        let page = include_str!("../../../docs/configuration.md");
        for k in &KEYS {
            let row = format!(
                "| `{}` | {} | {} to {} | {} | {} |",
                k.path, k.unit, k.range.0, k.range.1, k.default, k.about
            );
            assert!(page.contains(&row), "docs/configuration.md lacks this row:\n{row}");
        }
        let rows = page.lines().filter(|l| l.starts_with("| `http.")).count();
        assert_eq!(rows, KEYS.iter().filter(|k| k.path.starts_with("http.")).count());
    }

    /// The file under deploy/ changes nothing as it stands, and names every key.
    #[test]
    fn the_deployed_file_holds_the_defaults() {
        let text = include_str!("../../../deploy/operator.toml");
        assert_eq!(Operator::parse(text), Ok(Operator::default()));
        for k in &KEYS {
            let (_, name) = k.path.split_once('.').unwrap();
            assert!(text.contains(&format!("{name} = {}", k.default)), "{}", k.path);
        }
    }
}
