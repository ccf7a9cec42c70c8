//! HTTP/1.1 in front and behind, discovery, operators' calls: what stands between sockets and the core. It decides
//! nothing.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used,
    reason = "not revised yet"
)]

mod acceptor;
pub mod admin;
mod answer_body;
mod answer_outcome;
mod attempt;
mod body;
pub mod body_budget;
pub mod cached_endpoint_list;
mod chunked_body;
mod client;
mod client_connection;
mod clients;
pub mod config;
pub mod connection_pool;
pub mod discovery;
pub mod endpoint_list;
mod exchange;
mod front_state;
pub mod http_client;
mod http_exchange;
mod invalid_request;
pub mod listener_handover;
mod outgoing_body;
pub mod process_slot;
pub mod queueing_delay;
mod relay;
mod request;
mod request_guards;
mod request_handler;
pub mod server;
pub mod stall_timeouts;
mod stream;
mod timer;
mod upload;

/// Headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut hyper::HeaderMap) {
    use hyper::header::*;
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    named.into_iter().for_each(|name| drop(headers.remove(name)));
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
