//! File descriptors: what fronts, clients and upstream connections may hold, alone or next to another process of the
//! same proxy that counts against the same limit.

use super::error::ServeError;
use crate::operator::PostgresSection;
use crate::postgres;
use lotusdeck_core::Host;
use lotusdeck_proxy::admin::MAX_CONCURRENT_CALLS;
use lotusdeck_proxy::connection_pool::ConnectionPool;
use lotusdeck_proxy::process_slot::{self, ProcessSlot};
use lotusdeck_proxy::server::Server;
use std::rc::Rc;

/// Descriptors that are kept for all but clients and upstreams, operators' connections among them.
const RESERVED: usize = 52 + MAX_CONCURRENT_CALLS;
/// Client connections over their limit, out of the reserve: each is closed after its response.
const EXCESS_CLIENTS: usize = 24;
/// Upstream connections may take this share of the descriptors, as a numerator and a denominator.
const UPSTREAM_NUMERATOR: usize = 2;
const UPSTREAM_DENOMINATOR: usize = 5;

/// Descriptors that are left for HTTP, of `limit`, once the PostgreSQL fronts have theirs.
///
/// # Errors
/// Too few are left.
pub(super) fn left_for_http(limit: usize, fronts: &[PostgresSection]) -> Result<usize, ServeError> {
    let postgres: usize = fronts.iter().map(postgres::descriptors).sum();
    let required = 2 * RESERVED;
    let left = limit.checked_sub(postgres).filter(|left| postgres == 0 || *left >= required);
    left.ok_or(ServeError::Descriptors { postgres, limit, required })
}

/// Divides the descriptors of the process between clients and upstream connections.
pub(super) struct DescriptorLimits {
    /// Descriptors for HTTP, of all processes of this proxy together.
    pub descriptors: usize,
    /// Connections to backends.
    pub pool: Rc<ConnectionPool>,
    /// Connections of clients.
    pub server: Rc<Server>,
}

impl DescriptorLimits {
    /// Sets the limits for one process, or for one of two.
    pub(super) fn apply(&self, has_other_process: bool) {
        let processes = 1 + usize::from(has_other_process);
        let available = (self.descriptors.saturating_sub(RESERVED) / processes).max(2);
        let upstream = (available * UPSTREAM_NUMERATOR / UPSTREAM_DENOMINATOR).max(1);
        self.pool.set_connection_limit(upstream);
        self.server.set_client_limits(available - upstream, EXCESS_CLIENTS / processes);
    }

    /// Follows whether another process of this proxy serves, and divides the limits with it.
    pub(super) async fn follow_other_process(
        self, slot: ProcessSlot, mut has_other_process: bool, host: Rc<Host>,
    ) {
        loop {
            tokio::time::sleep(process_slot::CHECK_INTERVAL).await;
            let is_running = slot.other_is_running();
            if is_running == has_other_process {
                continue;
            }
            has_other_process = is_running;
            self.apply(is_running);
            host.set_other_process(is_running);
        }
    }
}
