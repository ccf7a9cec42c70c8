//! The interface of the decision module: its configuration, events and actions.

mod action;
mod backend;
mod config;
mod event;
mod id;
mod snapshot;
mod time;

pub use action::Action;
pub use backend::{Backend, BackendState, ListUpdate};
pub use config::{
    AttemptLimits, Class, Config, ConfigError, DiscoveryMode, GoalWeights, KeyScope, ReassignedIds,
    SideEffects, SlowStartConfig, Tenant,
};
pub use event::{Arrival, AttemptEnd, Event, Outcome};
pub use id::{AttemptNo, BackendId, CellId, ClassId, KindId, RequestId, TenantId, TimerToken, ZoneId};
pub use snapshot::{Estimate, KindEstimates, Snapshot, WarmupSpend};
pub use time::{Micros, Time};
