//! Values of the plain tables: checks whether they fit their keys, and stores them in the fields of the sections.

use super::configuration::ConfigurationSection;
use super::faults::{type_name, unknown_name, Fault};
use super::fleet::{parse_members, FleetMember, FleetSection};
use super::keys::{ValueType, KEYS};
use super::ledger::LedgerSection;
use super::state::StateSection;
use super::OperatorFile;
use lotusdeck_proxy::stall_timeouts::StallTimeouts;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::de::{DeInteger, DeValue};
use toml::Spanned;

/// A value that fits its key.
pub(super) enum Value {
    /// A number within the key's range, in its unit.
    Number(u64),
    /// Text, or one of the words of a choice.
    Text(String),
    /// A socket address, if one is given.
    Address(Option<SocketAddr>),
    /// Other proxies of the fleet.
    Members(Vec<FleetMember>),
}

/// Checks the value of the key `path` against the table of keys.
///
/// # Errors
/// The key is not in the table, or the value does not fit it.
pub(super) fn check(path: &str, value: &Spanned<DeValue>) -> Result<Value, Fault> {
    let offset = value.span().start;
    let Some(key) = KEYS.iter().find(|key| key.path == path) else {
        let known = KEYS.iter().map(|key| key.path);
        return Err(Fault { offset, message: unknown_name("key", path, known) });
    };
    convert(&key.value_type, value.get_ref()).ok_or_else(|| {
        let expected = key.value_type.expected();
        let got = describe(value.get_ref());
        Fault { offset, message: format!("{path}: expected {expected}, got {got}") }
    })
}

/// Describes a value that does not fit its key.
fn describe(value: &DeValue) -> String {
    match value {
        DeValue::Integer(number) => number.as_str().to_string(),
        DeValue::String(text) => format!("{text:?}"),
        other => type_name(other).into(),
    }
}

/// Converts the value if it has the type of the key and is within its limits.
fn convert(value_type: &ValueType, value: &DeValue) -> Option<Value> {
    match (value_type, value) {
        (ValueType::Number { min, max, .. }, DeValue::Integer(number)) => {
            let number = parse_integer(number)?;
            (min..=max).contains(&&number).then_some(Value::Number(number.unsigned_abs()))
        }
        (ValueType::Choice(words), DeValue::String(text)) => {
            words.contains(&text.as_ref()).then(|| Value::Text(text.to_string()))
        }
        (ValueType::Text, DeValue::String(text)) => Some(Value::Text(text.to_string())),
        (ValueType::Address, DeValue::String(text)) if text.is_empty() => Some(Value::Address(None)),
        (ValueType::Address, DeValue::String(text)) => {
            text.parse().ok().map(|address| Value::Address(Some(address)))
        }
        (ValueType::Members, DeValue::String(text)) => parse_members(text).map(Value::Members),
        _ => None,
    }
}

/// Parses a TOML integer of any base; returns `None` if it does not fit into 64 bits.
fn parse_integer(number: &DeInteger) -> Option<i64> {
    let digits: String = number.as_str().chars().filter(|c| *c != '_').collect();
    i64::from_str_radix(&digits, number.radix()).ok()
}

impl OperatorFile {
    /// Stores a checked value in its section; `path` is in [`KEYS`].
    pub(super) fn set(&mut self, path: &str, value: Value) {
        match path.split_once('.') {
            Some(("http", key)) => set_http(&mut self.http, key, value),
            Some(("ledger", key)) => set_ledger(&mut self.ledger, key, value),
            Some(("state", key)) => set_state(&mut self.state, key, value),
            Some(("configuration", key)) => set_configuration(&mut self.configuration, key, value),
            Some(("fleet", key)) => set_fleet(&mut self.fleet, key, value),
            _ => unhandled_key(path),
        }
    }
}

/// Sets a key of `[http]`.
fn set_http(timeouts: &mut StallTimeouts, key: &str, value: Value) {
    match (key, value) {
        ("answer_gap_ms", Value::Number(ms)) => timeouts.answer_pause = Duration::from_millis(ms),
        ("answer_silence_ms", Value::Number(ms)) => timeouts.relayed_answer_stall = Duration::from_millis(ms),
        ("upload_stall_ms", Value::Number(ms)) => timeouts.upload_stall = Duration::from_millis(ms),
        ("upload_unread_ms", Value::Number(ms)) => timeouts.backend_stall = Duration::from_millis(ms),
        _ => unhandled_key(key),
    }
}

/// Sets a key of `[ledger]`.
fn set_ledger(ledger: &mut LedgerSection, key: &str, value: Value) {
    match (key, value) {
        ("folder", Value::Text(text)) => ledger.folder = folder(text),
        ("mode", Value::Text(word)) => ledger.survives_power_loss = word == "power",
        ("on_failure", Value::Text(word)) => ledger.sends_without_record = word == "go-on",
        ("wait_ms", Value::Number(ms)) => ledger.record_timeout = Duration::from_millis(ms),
        ("segment_mb", Value::Number(mb)) => ledger.segment_mb = mb,
        ("keep_mb", Value::Number(mb)) => ledger.keep_mb = mb,
        ("keep_days", Value::Number(days)) => ledger.keep_days = days,
        ("keep_unresolved_days", Value::Number(days)) => ledger.keep_unresolved_days = days,
        ("warn_free_mb", Value::Number(mb)) => ledger.warn_free_mb = mb,
        _ => unhandled_key(key),
    }
}

/// Sets a key of `[state]`.
fn set_state(state: &mut StateSection, key: &str, value: Value) {
    match (key, value) {
        ("folder", Value::Text(text)) => state.folder = folder(text),
        ("site", Value::Text(text)) => state.site = text,
        ("half_life_s", Value::Number(s)) => state.half_life = Duration::from_secs(s),
        ("every_ms", Value::Number(ms)) => state.write_interval = Duration::from_millis(ms),
        _ => unhandled_key(key),
    }
}

/// Sets a key of `[configuration]`.
fn set_configuration(configuration: &mut ConfigurationSection, key: &str, value: Value) {
    match (key, value) {
        ("source", Value::Address(address)) => configuration.source = address,
        _ => unhandled_key(key),
    }
}

/// Sets a key of `[fleet]`.
fn set_fleet(fleet: &mut FleetSection, key: &str, value: Value) {
    match (key, value) {
        ("listen", Value::Address(address)) => fleet.listen = address,
        ("advertise", Value::Address(address)) => fleet.advertise = address,
        ("members", Value::Members(members)) => fleet.members = members,
        ("site", Value::Text(text)) => fleet.site = text,
        ("term_ms", Value::Number(ms)) => fleet.lease_duration = Duration::from_millis(ms),
        _ => unhandled_key(key),
    }
}

/// Returns the path of a folder; `None` if the text is empty.
fn folder(text: String) -> Option<PathBuf> {
    Some(PathBuf::from(text)).filter(|path| !path.as_os_str().is_empty())
}

/// Panics for a key that is in [`KEYS`] but not stored in any section: a programming error that the test of every key
/// detects.
fn unhandled_key(key: &str) -> ! {
    unreachable!("no section has a field for the key {key}")
}
