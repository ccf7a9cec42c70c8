//! Finds the faults in a node configuration.

use super::location::{locate, position, Position};
use super::Finding;
use lotusdeck_policy::settings::Settings;
use serde_json::Value;
use std::net::SocketAddr;

/// A key that is missing or has a wrong value.
struct KeyFault {
    key: String,
    message: String,
}

/// What is required of a key at the top level or in an object there.
struct Rule {
    /// The path of the key, joined by dots.
    key: &'static str,
    is_required: bool,
    /// The expected value, in words.
    expected: &'static str,
    accepts: fn(&Value) -> bool,
}

/// The rules of all keys outside of the settings.
const RULES: [Rule; 8] = [
    Rule { key: "name", is_required: true, expected: "text", accepts: is_text },
    Rule { key: "listen", is_required: true, expected: "address:port", accepts: is_address },
    Rule { key: "discovery", is_required: true, expected: "address:port", accepts: is_address },
    Rule { key: "admin_addr", is_required: false, expected: "address:port", accepts: is_address },
    Rule { key: "seed", is_required: true, expected: "a number or up to 16 hex digits", accepts: is_seed },
    Rule { key: "limits.sockets", is_required: false, expected: "a whole number", accepts: Value::is_u64 },
    Rule { key: "limits.memory_mb", is_required: false, expected: "a whole number", accepts: Value::is_u64 },
    Rule { key: "known.endpoints", is_required: false, expected: "an array", accepts: Value::is_array },
];

fn is_text(value: &Value) -> bool {
    value.as_str().is_some_and(|text| !text.is_empty())
}

fn is_address(value: &Value) -> bool {
    value.as_str().is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}

fn is_seed(value: &Value) -> bool {
    value.is_u64() || value.as_str().is_some_and(|text| u64::from_str_radix(text, 16).is_ok())
}

/// Returns the faults in the text, sorted by position.
pub(super) fn check(text: &str) -> Vec<Finding> {
    let document: Value = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let position = Position { line: error.line(), column: error.column() };
            return vec![Finding { position, message: error.to_string() }];
        }
    };
    let mut faults: Vec<KeyFault> = RULES.iter().filter_map(|rule| rule.check(&document)).collect();
    faults.extend(settings_faults(&document));
    let finding = |fault: KeyFault| Finding {
        position: position(text, locate(text, &fault.key)),
        message: format!("{}: {}", fault.key, fault.message),
    };
    let mut findings: Vec<Finding> = faults.into_iter().map(finding).collect();
    findings.sort();
    findings
}

impl Rule {
    fn check(&self, document: &Value) -> Option<KeyFault> {
        let expected = self.expected;
        let message = match self.key.split('.').try_fold(document, |value, part| value.get(part)) {
            None if self.is_required => format!("missing, expected {expected}"),
            Some(value) if !(self.accepts)(value) => format!("expected {expected}, got {value:.60}"),
            _ => return None,
        };
        Some(KeyFault { key: self.key.into(), message })
    }
}

fn settings_faults(document: &Value) -> Vec<KeyFault> {
    let Some(settings) = document.get("settings") else {
        return vec![KeyFault { key: "settings".into(), message: "missing, expected an object".into() }];
    };
    let Err(faults) = Settings::read(settings) else { return Vec::new() };
    let key_fault = |fault: lotusdeck_policy::settings::Fault| KeyFault {
        key: format!("settings.{}", fault.key),
        message: match fault.got {
            Some(got) => format!("expected {}, got {got}", fault.expected),
            None => format!("missing, expected {}", fault.expected),
        },
    };
    faults.0.into_iter().map(key_fault).collect()
}
