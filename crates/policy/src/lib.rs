//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without clock, network or threads: a host feeds it [`Event`]s
//! with the time at which they happened and carries out the [`Action`]s it returns.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
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

mod admission;
mod answer_loss;
mod api;
mod backend_health;
mod backend_table;
mod balancer;
mod discovery_poll;
mod estimates;
mod estimators;
mod faults;
mod halb;
mod hedging;
mod names;
mod outlier;
mod picker;
mod requests;
mod retry;
mod sent_work;
pub mod settings;
mod slow_start;
mod snapshot;
mod solver;
mod subset;
mod succession;
mod view;

pub use api::*;
pub use balancer::Balancer;
pub use halb::halb_shares;
pub use view::{BackendView, KindView};

/// The README's example, kept true by the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
