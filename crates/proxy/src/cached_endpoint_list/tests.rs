//! Tests of the cached list after full lists and changes.

use super::*;
use serde_json::json;

fn list(index: u64, snapshot: bool, entries: &[(&str, &str)]) -> EndpointList {
    let endpoints = entries.iter().map(|(n, s)| json!({"name": n, "address": "127.0.0.1:1", "status": s}));
    EndpointList { version: index, snapshot, endpoints: endpoints.collect() }
}

fn status(v: &Value) -> &str {
    v.get("status").and_then(Value::as_str).unwrap_or_default()
}

fn names(list: &EndpointList) -> Vec<(&str, &str)> {
    list.endpoints.iter().map(|v| (entry_name(v).unwrap_or_default(), status(v))).collect()
}

#[test]
fn changes_are_merged_into_the_full_list() {
    let mut m = CachedEndpointList::default();
    assert!(m.take_changed().is_none(), "nothing was told");
    m.apply(list(3, true, &[("a", "SERVING"), ("b", "SERVING")]));
    m.apply(list(5, false, &[("a", "DELETED"), ("b", "DRAINING"), ("c", "SERVING")]));
    let full = m.take_changed().unwrap();
    assert_eq!((full.version, full.snapshot), (5, true));
    assert_eq!(names(&full), [("b", "DRAINING"), ("c", "SERVING")]);
    assert!(m.take_changed().is_none(), "handed out once");
    m.apply(list(6, true, &[("d", "SERVING")]));
    assert_eq!(names(&m.take_changed().unwrap()), [("d", "SERVING")], "a whole list replaces");
}

#[test]
fn beyond_the_bound_nothing_is_handed_out_until_a_full_list() {
    let mut m = CachedEndpointList::default();
    let many: Vec<String> = (0..=MAX_NAMES).map(|i| format!("n{i}")).collect();
    let entries: Vec<(&str, &str)> = many.iter().map(|n| (n.as_str(), "SERVING")).collect();
    m.apply(list(1, false, &entries));
    assert!(m.take_changed().is_none());
    m.apply(list(2, true, &entries[..2]));
    assert_eq!(m.take_changed().map(|l| l.endpoints.len()), Some(2));
}
