//! The testbed of lotusdeck: a model of clients, backends and discovery, a driver that plays the model around real
//! proxy processes on loopback, oracles that check rules on what the stand-ins recorded, and figures.
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

pub mod campaign;
pub mod crowd_cost;
pub mod driver;
pub mod duel;
pub mod experiment;
pub mod fault_proxy;
pub mod fleet;
pub mod ledger;
pub mod oracle;
pub mod overhead;
pub mod paper;
pub mod postgres;
pub mod record;
pub mod report;
pub mod scale;
pub mod session;
pub mod soak;
pub mod swings;
pub mod virtual_time;
pub mod world;
