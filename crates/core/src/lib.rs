//! The core of the proxy: it owns the decision module, and with it requests, attempts, deadlines and the promise of
//! exactly one final answer. It knows no protocol: a front hands it [`Exchange`], which sends itself, and keeps the
//! connections that attempts go out on behind [`ConnectionPools`].
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

mod clock;
pub mod cordon;
mod counts;
mod estimates;
mod exchange;
mod fleet_limits;
mod host;
mod id_usage;
mod journal;
mod registry;
mod retired;
mod settings_change;
mod status;
mod timers;

pub use clock::{to_duration, Clock};
pub use exchange::{AttemptContext, AttemptFuture, ConnectionPools, Exchange};
pub use fleet_limits::{Admission, FleetLimitStatus, FleetLimiter};
pub use host::{Answer, Host, OptionalServices};
pub use id_usage::IdGuard;
pub use journal::{Journal, RequestLabels, SendPermit};
pub use registry::{Endpoint, EndpointUpdate, PartialEndpoint};
pub use settings_change::{ActiveSettings, Outdated, PreparedSettings};
pub use status::{BackendStatus, KindStatus, Status};
