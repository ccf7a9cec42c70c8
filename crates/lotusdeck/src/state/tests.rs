//! Tests of restored endpoint lists and of file names.

use super::files::file_name;
use super::restore::with_cold_backends;
use lotusdeck_proxy::endpoint_list::EndpointList;
use serde_json::json;

#[test]
fn backends_of_a_saved_list_count_as_started_now() {
    let endpoints = vec![json!({"name": "a", "since_ms": 5}), json!({"name": "b"}), json!(3)];
    let list = with_cold_backends(EndpointList { version: 2, snapshot: true, endpoints }, 9_000);
    let started: Vec<Option<u64>> =
        list.endpoints.iter().map(|entry| entry.get("since_ms")?.as_u64()).collect();
    assert_eq!(started, [Some(9_000), Some(9_000), None], "entries that are not objects are unchanged");
}

#[test]
fn characters_that_are_unsafe_in_a_path_are_replaced() {
    assert_eq!(file_name("../n/0 x"), "_n_0_x");
    assert_eq!(file_name("n-1.a_b"), "n-1.a_b");
}
