//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without clock, network or threads: the host passes it [`Event`]s with the
//! time at which they happened and carries out the [`Action`]s it returns.
#![forbid(unsafe_code)]

mod admission;
mod answer_loss;
mod api;
mod backend_health;
mod backend_table;
mod balancer;
mod discovery_poll;
mod estimates;
mod estimators;
mod halb;
mod hedging;
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
mod view;

pub use api::*;
pub use balancer::Balancer;
pub use halb::halb_shares;
pub use view::{BackendView, KindView};

/// Runs the README's example as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
