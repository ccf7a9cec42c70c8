//! What the proxies of one fleet tell each other, sans-IO: who is there ([`membership`], SWIM by the `foca` crate), and
//! how a limit that holds for the whole fleet is shared among them ([`quota`], escrow with leases), and what each holds
//! at this moment ([`load_gossip`]). [`node`] joins them behind datagrams and a clock that are handed in; docs/fleet-limits.md holds the bound and the ways weighed.
//!
//! Time is a span since the process began, by a clock that never steps back; no two proxies' clocks are compared, only
//! the rates at which they run.
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

pub mod load_gossip;
pub mod membership;
pub mod node;
pub mod quota;
pub mod wire;

pub use membership::{Identity, Membership, MembershipError, Seed};
pub use node::{Limit, Node, NodeConfig, QuotaStatus, ReceiveError};
pub use quota::{Quota, QuotaConfig, QuotaExceeded};
