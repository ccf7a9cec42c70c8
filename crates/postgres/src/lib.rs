//! A front for the PostgreSQL wire protocol, version 3 (PostgreSQL documentation, "Frontend/Backend Protocol").
//! Framing, the tracking of transactions and SCRAM do no I/O of their own; a session submits each transaction to the
//! core, which chooses its server.
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
    reason = "not all code meets these lints yet"
)]

pub mod classes;
mod client;
mod error;
mod front;
mod io;
mod login;
pub mod scram;
mod server_login;
mod session;
mod statements;
pub mod track;
mod transaction;
mod upstream;
pub mod wire;

pub use front::{Front, FrontSettings, User, MAX_EXCESS_CLIENTS};
pub use server_login::Login;
pub use upstream::Servers;
