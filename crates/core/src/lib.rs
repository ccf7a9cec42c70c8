//! The protocol-independent core of the proxy. It owns the balancer, the open requests and their attempts, enforces
//! deadlines, and gives each request exactly one final answer. A front submits each request as an [`Exchange`],
//! which sends the attempts, and provides the connections to backends through its [`ConnectionPools`].

mod clock;
pub mod cordon;
mod counts;
mod drains_at_move;
mod early_answer;
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
pub use early_answer::{AnswerLength, AnswerPace, EarlyAnswer};
pub use exchange::{AnswerProgress, AttemptContext, AttemptFuture, ConnectionPools, Exchange};
pub use fleet_limits::{Admission, FleetLimitStatus, FleetLimiter};
pub use host::{Answer, Host, OptionalServices};
pub use id_usage::IdGuard;
pub use journal::{Journal, RequestLabels, SendPermit};
pub use registry::{Endpoint, EndpointUpdate, PartialEndpoint};
pub use settings_change::{ActiveSettings, Outdated, PreparedSettings};
pub use status::{BackendStatus, KindStatus, Status};
