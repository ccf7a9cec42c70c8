//! The reverse proxy on real sockets: HTTP/1.1 in front and behind, discovery and the operators' calls. It connects
//! sockets with the core, which decides.

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
mod hop_by_hop;
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
