//! What a proxy on real sockets needs of the settings, and the simulator does not.

use crate::api::Micros;

/// The settings that only a proxy on real sockets needs.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSettings {
    /// A connection that is not established by then counts as failed.
    pub connect_timeout: Micros,
    /// Backends close connections that were idle for so long.
    pub idle_timeout: Micros,
    /// The longest Retry-After that a client follows; `None` where clients get none.
    pub max_retry_after: Option<Micros>,
    /// How long a client waits at most, by class.
    pub deadlines: Vec<Micros>,
}
