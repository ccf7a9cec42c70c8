//! Settings that only a proxy on real sockets needs.

use crate::api::Micros;

/// The settings of connections and of answers to clients.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSettings {
    /// Time after which a connection that is not established counts as failed.
    pub connect_timeout: Micros,
    /// Idle time after which backends close connections.
    pub idle_timeout: Micros,
    /// The longest Retry-After that a client follows; `None` if clients are not sent any.
    pub max_retry_after: Option<Micros>,
    /// The longest time that a client waits, by class.
    pub deadlines: Vec<Micros>,
}
