//! Removal of hop-by-hop headers.

use hyper::header::{
    HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Removes the headers that apply to a single connection only, and those that the `Connection` header names.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
