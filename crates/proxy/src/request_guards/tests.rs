//! The guards without a server.

use super::*;

/// Guards against a rejected duplicate that frees the id of the first request, so that the next duplicate is
/// accepted.
#[test]
fn a_duplicate_id_is_refused_as_long_as_its_request_is_open() {
    let open_ids = RefCell::default();
    let id = HeaderValue::from_static("00000000000000a1");
    let first = OpenId::new(&open_ids, id.clone());
    assert!(first.is_some());
    assert!(OpenId::new(&open_ids, id.clone()).is_none(), "the first duplicate");
    assert!(OpenId::new(&open_ids, id.clone()).is_none(), "the second duplicate");
    drop(first);
    assert!(OpenId::new(&open_ids, id).is_some(), "the id is free again");
}
