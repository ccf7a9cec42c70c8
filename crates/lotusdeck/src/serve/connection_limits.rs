//! Limits on the connections of clients and to backends, which follow from the file descriptors and the memory of the
//! process. A second process of the same proxy counts against the same limits.

use super::error::ServeError;
use crate::operator::PostgresSection;
use crate::postgres;
use lotusdeck_core::Host;
use lotusdeck_proxy::admin::MAX_CONCURRENT_CALLS;
use lotusdeck_proxy::connection_pool::ConnectionPool;
use lotusdeck_proxy::process_slot::{self, ProcessSlot};
use lotusdeck_proxy::server::Server;
use std::rc::Rc;

/// Descriptors reserved for everything except clients and upstreams; includes operators' connections.
const RESERVED: usize = 52 + MAX_CONCURRENT_CALLS;
/// Client connections beyond their limit, taken from the reserve. Each is closed after its answer.
const EXCESS_CLIENTS: usize = 24;
/// The share of the descriptors that upstream connections may use, as a numerator and a denominator.
const UPSTREAM_NUMERATOR: usize = 2;
const UPSTREAM_DENOMINATOR: usize = 5;

/// The share of the memory that connections may use, as a divisor: the rest is for bodies, the program and its lists.
const CONNECTION_MEMORY_DIVISOR: usize = 2;
/// The most memory that a connection takes without buffered bodies, in bytes: the read and write buffers of a client's
/// connection whose head is as long as it may be, or of a backend's with a request in flight.
const CONNECTION_BYTES: usize = 28 * 1024;

/// Returns how many descriptors of `limit` are left for HTTP after those of the PostgreSQL fronts.
///
/// # Errors
/// The fronts leave less than twice the reserve.
pub(super) fn left_for_http(limit: usize, fronts: &[PostgresSection]) -> Result<usize, ServeError> {
    let postgres: usize = fronts.iter().map(postgres::descriptors).sum();
    let required = 2 * RESERVED;
    let left = limit.checked_sub(postgres).filter(|left| postgres == 0 || *left >= required);
    left.ok_or(ServeError::Descriptors { postgres, limit, required })
}

/// The limits on client and upstream connections.
pub(super) struct ConnectionLimits {
    /// Descriptors for HTTP, of all processes of this proxy together.
    pub descriptors: usize,
    /// The memory limit of all processes of this proxy together, in bytes.
    pub memory_bytes: usize,
    /// Connections to backends.
    pub pool: Rc<ConnectionPool>,
    /// Connections of clients.
    pub server: Rc<Server>,
}

impl ConnectionLimits {
    /// Sets the limits of this process; another process of the proxy gets half of the descriptors.
    pub(super) fn apply(&self, has_other_process: bool) {
        let processes = 1 + usize::from(has_other_process);
        let by_memory = self.memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        let in_total = self.descriptors.saturating_sub(RESERVED).min(by_memory);
        let available = (in_total / processes).max(2);
        let upstream = (available * UPSTREAM_NUMERATOR / UPSTREAM_DENOMINATOR).max(1);
        self.pool.set_connection_limit(upstream);
        self.server.set_client_limits(available - upstream, EXCESS_CLIENTS / processes);
    }

    /// Checks periodically whether another process of this proxy runs, and adjusts the limits when that changes.
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
