//! The operator file: what an installation sets for itself, as TOML. Every key is optional; without one, or without
//! the file, all is as the defaults say.

use crate::fleet::{self, FleetSettings, LimitSpec};
use crate::postgres::{self, Spec};
use lotusdeck_proxy::pauses::Pauses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// What a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// A whole number of that unit, from the least to the most, and its default.
    Number(&'static str, i64, i64, i64),
    /// One of these words; the first is the default.
    Choice(&'static [&'static str]),
    /// Text; empty by default.
    Text,
    /// An address; none by default.
    Address,
    /// Positions in the fleet and addresses; none by default.
    Members,
}

/// One key: all that is said of it in docs/configuration.md.
pub struct Key {
    /// Table and name.
    pub path: &'static str,
    /// What it holds.
    pub sort: Sort,
    /// What it does.
    pub about: &'static str,
}

const fn number(
    path: &'static str, unit: &'static str, range: (i64, i64), default: i64, about: &'static str,
) -> Key {
    Key { path, sort: Sort::Number(unit, range.0, range.1, default), about }
}

/// Every key that there is.
pub const KEYS: [Key; 22] = [
    number(
        "http.answer_gap_ms",
        "ms",
        (10, 60_000),
        300,
        "an answer that has begun and rests for longer is a failed attempt",
    ),
    number(
        "http.answer_silence_ms",
        "ms",
        (100, 600_000),
        10_000,
        "a large answer on its way to the client that rests for longer is cut",
    ),
    number(
        "http.upload_stall_ms",
        "ms",
        (50, 60_000),
        1_500,
        "a client whose body rests for longer is answered 408",
    ),
    number(
        "http.upload_unread_ms",
        "ms",
        (50, 60_000),
        3_000,
        "a backend that takes nothing of a body for longer has gone",
    ),
    Key {
        path: "ledger.folder",
        sort: Sort::Text,
        about: "where the journal of requests that must never run twice lies; empty: there is none",
    },
    Key {
        path: "ledger.mode",
        sort: Sort::Choice(&["process", "power"]),
        about: "what a record survives before its request is sent: the process's death, or the loss of power",
    },
    Key {
        path: "ledger.on_failure",
        sort: Sort::Choice(&["refuse", "go-on"]),
        about: "while nothing can be written such requests get 503, or are sent and read as uncertain later",
    },
    number("ledger.wait_ms", "ms", (1, 60_000), 200, "an attempt waits so long at most for its record"),
    number("ledger.segment_mb", "MB", (1, 1024), 16, "room of a segment, reserved when it is made"),
    number(
        "ledger.keep_mb",
        "MB",
        (1, 1_000_000),
        1_024,
        "beyond it the oldest resolved segments are dropped",
    ),
    number("ledger.keep_days", "days", (1, 36_500), 90, "resolved segments are dropped at this age"),
    number("ledger.keep_unresolved_days", "days", (1, 36_500), 180, "all others at this one"),
    number("ledger.warn_free_mb", "MB", (0, 1_000_000), 256, "with less space than this a line warns"),
    Key {
        path: "state.folder",
        sort: Sort::Text,
        about: "where this proxy keeps its last list across restarts; empty: nowhere",
    },
    Key {
        path: "state.site",
        sort: Sort::Text,
        about: "names the site in what is kept; what another site kept is not taken",
    },
    number(
        "state.half_life_s",
        "s",
        (1, 604_800),
        600,
        "a kept list is trusted half as much at this age, and not at all past twice it",
    ),
    number(
        "state.every_ms",
        "ms",
        (100, 600_000),
        1_000,
        "a changed list, and what was learned, are kept at most this often",
    ),
    Key {
        path: "fleet.listen",
        sort: Sort::Address,
        about: "where datagrams of other proxies come in; empty: this proxy talks to none",
    },
    Key {
        path: "fleet.advertise",
        sort: Sort::Address,
        about: "where the others reach it; empty: where it listens",
    },
    Key {
        path: "fleet.members",
        sort: Sort::Members,
        about: "some of the others, to call at: the rest is learned from them",
    },
    Key {
        path: "fleet.site",
        sort: Sort::Text,
        about: "names the site; datagrams of another one are not read",
    },
    number(
        "fleet.term_ms",
        "ms",
        (200, 60_000),
        1_000,
        "how long a part of a limit is lent to another proxy",
    ),
];

/// `[state]`: what outlives the process (docs/recovery.md).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateSettings {
    /// Where it lies; `None` where nothing is kept.
    pub folder: Option<PathBuf>,
    /// The site's name, written and checked.
    pub site: String,
    /// The age at which a kept list is trusted half as much.
    pub half_life: Duration,
    /// A changed list is written at most this often.
    pub every: Duration,
}

impl Default for StateSettings {
    fn default() -> StateSettings {
        StateSettings {
            folder: None,
            site: String::new(),
            half_life: Duration::from_secs(600),
            every: Duration::from_millis(1_000),
        }
    }
}

/// `[ledger]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Where it lies; `None` where there is none.
    pub folder: Option<PathBuf>,
    /// Records survive the loss of power.
    pub power: bool,
    /// Requests are sent while nothing can be written.
    pub go_on: bool,
    /// An attempt waits so long at most for its record.
    pub wait: Duration,
    /// Room of a segment.
    pub segment_mb: u64,
    /// Space of all segments.
    pub keep_mb: u64,
    /// Age of resolved segments.
    pub keep_days: u64,
    /// Age of the others.
    pub keep_unresolved_days: u64,
    /// Free space below which a line warns.
    pub warn_free_mb: u64,
}

impl Default for LedgerSettings {
    fn default() -> LedgerSettings {
        LedgerSettings {
            folder: None,
            power: false,
            go_on: false,
            wait: Duration::from_millis(200),
            segment_mb: 16,
            keep_mb: 1024,
            keep_days: 90,
            keep_unresolved_days: 180,
            warn_free_mb: 256,
        }
    }
}

/// What the file says, defaults filled in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// `[http]`.
    pub pauses: Pauses,
    /// `[ledger]`.
    pub ledger: LedgerSettings,
    /// `[[postgres]]`, one for each front.
    pub postgres: Vec<Spec>,
    /// `[state]`.
    pub state: StateSettings,
    /// `[fleet]`.
    pub fleet: FleetSettings,
    /// `[[limit]]`.
    pub limits: Vec<LimitSpec>,
}

/// A value that fits its key.
enum Value {
    Number(u64),
    Text(String),
    Address(Option<SocketAddr>),
    Members(Vec<(u32, SocketAddr)>),
}

impl Sort {
    /// What is expected, in words.
    pub fn expected(&self) -> String {
        match self {
            Sort::Number(unit, least, most, _) => format!("a whole number of {unit} from {least} to {most}"),
            Sort::Choice(words) => words.join(" or "),
            Sort::Text => "text".into(),
            Sort::Address => "an address as 10.0.0.1:7400, or nothing".into(),
            Sort::Members => "positions and addresses as 0@10.0.0.1:7400 1@10.0.0.2:7400, or nothing".into(),
        }
    }

    /// What holds where the key is absent, as it would be written.
    pub fn default(&self) -> String {
        match self {
            Sort::Number(_, _, _, default) => default.to_string(),
            Sort::Choice(words) => format!("\"{}\"", words.first().unwrap_or(&"")),
            Sort::Text | Sort::Address | Sort::Members => "\"\"".into(),
        }
    }

    fn fit(&self, value: &DeValue) -> Option<Value> {
        match (self, value) {
            (Sort::Number(_, least, most, _), DeValue::Integer(n)) => {
                let digits: String = n.as_str().chars().filter(|c| *c != '_').collect();
                let n = i64::from_str_radix(&digits, n.radix()).ok()?;
                (least..=most).contains(&&n).then_some(Value::Number(n.unsigned_abs()))
            }
            (Sort::Choice(words), DeValue::String(s)) => {
                words.contains(&s.as_ref()).then(|| Value::Text(s.to_string()))
            }
            (Sort::Text, DeValue::String(s)) => Some(Value::Text(s.to_string())),
            (Sort::Address, DeValue::String(s)) if s.is_empty() => Some(Value::Address(None)),
            (Sort::Address, DeValue::String(s)) => s.parse().ok().map(|at| Value::Address(Some(at))),
            (Sort::Members, DeValue::String(s)) => fleet::members(s).map(Value::Members),
            _ => None,
        }
    }
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

fn value(path: &str, value: &Spanned<DeValue>) -> Result<Value, Fault> {
    let at = value.span().start;
    let Some(key) = KEYS.iter().find(|k| k.path == path) else {
        return Err(Fault { at, text: unknown("key", path, KEYS.iter().map(|k| k.path)) });
    };
    let got = match value.get_ref() {
        DeValue::Integer(n) => n.as_str().to_string(),
        DeValue::String(s) => format!("{s:?}"),
        other => kind(other).into(),
    };
    let wrong = || Fault { at, text: format!("{path}: expected {}, got {got}", key.sort.expected()) };
    key.sort.fit(value.get_ref()).ok_or_else(wrong)
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
            // Behind what is no TOML nothing can be said of these.
            let mut fault = |fault| faults.extend(broken.is_empty().then_some(fault));
            match name.as_ref() {
                "postgres" => {
                    postgres::read(text).map_or_else(&mut fault, |specs| operator.postgres = specs);
                    continue;
                }
                "limit" => {
                    fleet::read(text).map_or_else(&mut fault, |limits| operator.limits = limits);
                    continue;
                }
                _ => {}
            }
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
                    Ok(value) => operator.set(&path, value),
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

    fn set(&mut self, path: &str, value: Value) {
        let (pauses, ledger, state) = (&mut self.pauses, &mut self.ledger, &mut self.state);
        let fleet = &mut self.fleet;
        match value {
            Value::Number(n) => {
                let span = Duration::from_millis(n);
                match path {
                    "http.answer_gap_ms" => pauses.answer_gap = span,
                    "http.answer_silence_ms" => pauses.answer_silence = span,
                    "http.upload_stall_ms" => pauses.upload_stall = span,
                    "http.upload_unread_ms" => pauses.upload_unread = span,
                    "ledger.wait_ms" => ledger.wait = span,
                    "ledger.segment_mb" => ledger.segment_mb = n,
                    "ledger.keep_mb" => ledger.keep_mb = n,
                    "ledger.keep_days" => ledger.keep_days = n,
                    "ledger.keep_unresolved_days" => ledger.keep_unresolved_days = n,
                    "ledger.warn_free_mb" => ledger.warn_free_mb = n,
                    "state.half_life_s" => state.half_life = Duration::from_secs(n),
                    "state.every_ms" => state.every = span,
                    "fleet.term_ms" => fleet.term = span,
                    _ => unreachable!("a key of the list that nobody reads: {path}"),
                }
            }
            Value::Text(text) => match path {
                "ledger.folder" => {
                    ledger.folder = Some(PathBuf::from(text)).filter(|p| !p.as_os_str().is_empty())
                }
                "ledger.mode" => ledger.power = text == "power",
                "ledger.on_failure" => ledger.go_on = text == "go-on",
                "state.folder" => {
                    state.folder = Some(PathBuf::from(text)).filter(|p| !p.as_os_str().is_empty())
                }
                "state.site" => state.site = text,
                "fleet.site" => fleet.site = text,
                _ => unreachable!("a key of the list that nobody reads: {path}"),
            },
            Value::Address(at) if path == "fleet.listen" => fleet.listen = at,
            Value::Address(at) => fleet.advertise = at,
            Value::Members(members) => fleet.members = members,
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
            let with = |value: &str| Operator::parse(&format!("[{table}]\n{name} = {value}\n"));
            assert_eq!(with(&key.sort.default()), Ok(Operator::default()), "{}", key.path);
            let (other, wrong) = match key.sort {
                Sort::Number(_, least, most, _) => (most.to_string(), vec![least - 1, most + 1]),
                Sort::Choice(words) => (format!("{:?}", words[1]), vec![1]),
                Sort::Text => ("\"x\"".into(), vec![1]),
                Sort::Address => ("\"127.0.0.1:7400\"".into(), vec![1]),
                Sort::Members => ("\"0@127.0.0.1:7400\"".into(), vec![1]),
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
        let page = include_str!("../../../docs/configuration.md");
        for k in &KEYS {
            let row =
                format!("| `{}` | {} | {} | {} |", k.path, k.sort.expected(), k.sort.default(), k.about);
            assert!(page.contains(&row), "docs/configuration.md lacks this row:\n{row}");
        }
        let rows = page.lines().filter(|l| tables().any(|t| l.starts_with(&format!("| `{t}.")))).count();
        assert_eq!(rows, KEYS.len());
    }

    /// The file under deploy/ changes nothing as it stands, and names every key.
    #[test]
    fn the_deployed_file_holds_the_defaults() {
        let text = include_str!("../../../deploy/operator.toml");
        assert_eq!(Operator::parse(text), Ok(Operator::default()));
        for k in &KEYS {
            let (_, name) = k.path.split_once('.').unwrap();
            assert!(text.contains(&format!("{name} = {}", k.sort.default())), "{}", k.path);
        }
    }
}
