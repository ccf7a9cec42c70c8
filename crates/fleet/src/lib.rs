//! What the proxies of one fleet exchange, sans-IO.
//!
//! - [`membership`]: which proxies are alive (SWIM, by the `foca` crate);
//! - [`quota`]: how a limit of the whole fleet is divided among them (escrow with leases), in [`Amount`]s;
//! - [`load_gossip`]: how many attempts each has in flight;
//! - [`wire`]: their datagrams;
//! - [`node`]: all of these for one proxy, behind datagrams and a clock that are passed in.
//!
//! docs/fleet-limits.md holds the bound on admitted requests and the alternatives considered.
//!
//! Time is a span since the process began, by a clock that never steps back; clocks of different proxies are not
//! compared, only the rates at which they run.

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
