//! The protocols between the proxies of one fleet, without I/O (sans-IO).
//!
//! - [`membership`]: which proxies are alive (SWIM, implemented by the `foca` crate);
//! - [`quota`]: how a fleet-wide limit is divided among the proxies (escrow with leases), in [`Amount`]s;
//! - [`load_gossip`]: how many attempts each proxy has in flight;
//! - [`wire`]: the datagrams;
//! - [`node`]: all of these for one proxy; the caller passes in the datagrams and the time.
//!
//! docs/fleet-limits.md gives the bound on admitted requests and the alternatives considered.
//!
//! A time is the duration since the process began, by a monotonic clock. Times of different proxies are not compared;
//! only the rates of their clocks have to agree, within the margin that leases allow for.

pub mod amount;
pub mod load_gossip;
pub mod membership;
pub mod node;
pub mod quota;
pub mod wire;

pub use amount::Amount;
pub use membership::{Identity, Membership, MembershipError, Seed};
pub use node::{Limit, Node, NodeConfig, QuotaStatus, ReceiveError};
pub use quota::{Borrower, Quota, QuotaConfig, QuotaExceeded};
