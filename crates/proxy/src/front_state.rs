//! What accepting clients and handling their requests both need of the state of the front.

use crate::clients::Clients;
use std::cell::Cell;
use tokio::time::Instant;

/// The state of the front: its clients, their limit, and whether it is stopping.
#[derive(Default)]
pub(crate) struct FrontState {
    pub clients: Clients,
    /// How many connections are kept open.
    pub max_clients: Cell<usize>,
    /// Connections end after their next answer.
    pub is_stopping: Cell<bool>,
    /// When the last answer has to be on its way, once the program was told to stop.
    pub shutdown_deadline: Cell<Option<Instant>>,
    /// Invalid requests since the last log line.
    pub invalid_requests: Cell<u64>,
}

impl FrontState {
    /// Where many connections are open their clients may have none left to send on: each closes after its answer.
    pub(crate) fn is_near_limit(&self) -> bool {
        let max_clients = self.max_clients.get();
        self.clients.counts.with_request() > max_clients / 2 || self.clients.counts.total() > max_clients
    }
}
