//! The state of the front that accepting clients and handling their requests share.

use crate::clients::Clients;
use std::cell::Cell;
use tokio::time::Instant;

/// The state of the front: its clients, their limit, and whether it is stopping.
#[derive(Default)]
pub(crate) struct FrontState {
    pub clients: Clients,
    /// The limit on open connections.
    pub max_clients: Cell<usize>,
    /// Whether connections close after their next answer.
    pub is_stopping: Cell<bool>,
    /// When the last answer has to be sent, once the program was asked to stop.
    pub shutdown_deadline: Cell<Option<Instant>>,
    /// Invalid requests since the last log line.
    pub invalid_requests: Cell<u64>,
}

impl FrontState {
    /// Returns whether half of the connections that may be open are.
    pub(crate) fn has_half_of_clients(&self) -> bool {
        self.clients.counts.total() >= self.max_clients.get() / 2
    }

    /// Returns whether connections close after their answers, as the limit is near: those with a request exceed half of
    /// it, or all together exceed it. Clients might otherwise have no connection left to send on.
    pub(crate) fn is_near_limit(&self) -> bool {
        let max_clients = self.max_clients.get();
        self.clients.counts.with_request() > max_clients / 2 || self.clients.counts.total() > max_clients
    }
}
