//! Tests of the cached list after full lists and changes.

use super::*;
use serde_json::json;

fn list(version: u64, snapshot: bool, entries: &[(&str, &str)]) -> EndpointList {
    let endpoints = entries
        .iter()
        .map(|(name, status)| json!({"name": name, "address": "127.0.0.1:1", "status": status}));
    EndpointList { version, snapshot, endpoints: endpoints.collect() }
}

fn status(entry: &Value) -> &str {
    entry.get("status").and_then(Value::as_str).unwrap_or_default()
}

fn names_and_statuses(list: &EndpointList) -> Vec<(&str, &str)> {
    list.endpoints.iter().map(|entry| (entry_name(entry).unwrap_or_default(), status(entry))).collect()
}

#[test]
fn changes_are_merged_into_the_full_list() {
    let mut cached = CachedEndpointList::default();
    assert!(cached.take_changed().is_none(), "no list was applied yet");
    cached.apply(list(3, true, &[("a", "SERVING"), ("b", "SERVING")]));
    cached.apply(list(5, false, &[("a", "DELETED"), ("b", "DRAINING"), ("c", "SERVING")]));
    let full = cached.take_changed().unwrap();
    assert_eq!((full.version, full.snapshot), (5, true));
    assert_eq!(names_and_statuses(&full), [("b", "DRAINING"), ("c", "SERVING")]);
    assert!(cached.take_changed().is_none(), "the same list is not returned twice");
    cached.apply(list(6, true, &[("d", "SERVING")]));
    assert_eq!(
        names_and_statuses(&cached.take_changed().unwrap()),
        [("d", "SERVING")],
        "a full list replaces the cached one"
    );
}

#[test]
fn a_truncated_list_is_not_returned_until_a_full_list_is_received() {
    let mut cached = CachedEndpointList::default();
    let all_names: Vec<String> = (0..=MAX_NAMES).map(|i| format!("n{i}")).collect();
    let entries: Vec<(&str, &str)> = all_names.iter().map(|name| (name.as_str(), "SERVING")).collect();
    cached.apply(list(1, false, &entries));
    assert!(cached.take_changed().is_none());
    cached.apply(list(2, true, &entries[..2]));
    assert_eq!(cached.take_changed().map(|list| list.endpoints.len()), Some(2));
}
