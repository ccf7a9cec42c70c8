//! The core of the proxy: it owns the balancer, and with it requests, attempts, deadlines and the promise of exactly
//! one final answer to each request. It knows no protocol: a front hands it an [`Exchange`], which sends itself, and
//! keeps the connections that attempts are sent on behind [`ConnectionPools`].

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
pub mod socket_state;
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
