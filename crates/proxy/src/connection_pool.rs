//! Connections to backends: opening them, keeping idle ones for reuse, and closing them.

use crate::body_budget::BodyBudget;
use crate::exchange_counts::ExchangeCounts;
use crate::stall_timeouts::SharedStallTimeouts;
use crate::stream::Stream;
use lotusdeck_core::{to_duration, ConnectionPools};
use lotusdeck_policy::settings::NetworkSettings;
use lotusdeck_policy::{BackendId, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Share of the backends' idle timeout after which a connection is no longer used: well below it, as a backend may
/// have started its timer earlier than the proxy.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Shortest time between an answer and the reuse of its connection. Bytes that a backend sends after an answer would
/// be taken for the answer to the next request, as answers carry no id; a second answer may arrive up to some
/// milliseconds late.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// How often idle connections are checked.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);
/// System error numbers for too many open files, in the whole system and in this process.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// A connection, counted among the open ones. hyper drives it for one request at a time and leaves no state behind;
/// dropping it closes the socket, which is how an attempt is cancelled.
pub(crate) struct PooledConnection {
    pub stream: Stream,
    address: SocketAddr,
    idle_since: Instant,
    _open: OpenConnectionGuard,
}

/// Counts an open or opening connection for as long as the guard exists.
struct OpenConnectionGuard {
    count: Rc<Cell<usize>>,
}

impl OpenConnectionGuard {
    fn new(count: &Rc<Cell<usize>>) -> OpenConnectionGuard {
        count.set(count.get() + 1);
        OpenConnectionGuard { count: count.clone() }
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// The state of a backend that may be sent requests.
#[derive(Default)]
struct BackendConnections {
    /// The idle connections, the most recently used last.
    idle: Vec<PooledConnection>,
    last_answer_at: Option<Instant>,
}

/// The connections to all backends.
pub struct ConnectionPool {
    /// One entry for each backend that may be sent requests, and for no other.
    backends: RefCell<HashMap<BackendId, BackendConnections>>,
    open_connections: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
    max_idle: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    connects: Cell<u64>,
    pub(crate) body_budget: BodyBudget,
    pub(crate) stall_timeouts: SharedStallTimeouts,
    pub(crate) exchange_counts: ExchangeCounts,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(
        network: &NetworkSettings, body_budget: BodyBudget, stall_timeouts: SharedStallTimeouts,
    ) -> ConnectionPool {
        ConnectionPool {
            backends: RefCell::default(),
            open_connections: Rc::default(),
            max_connections: Cell::new(usize::MAX),
            max_idle: Cell::new(to_duration(network.idle_timeout.times(IDLE_TIMEOUT_SHARE))),
            connect_timeout: Cell::new(to_duration(network.connect_timeout)),
            connects: Cell::new(0),
            body_budget,
            stall_timeouts,
            exchange_counts: ExchangeCounts::default(),
        }
    }

    /// Sets how many connections may be open, and closes idle ones beyond that at once.
    pub fn set_connection_limit(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        while self.open_connections.get() > max_connections && self.close_longest_idle() {}
    }

    /// Returns how many connections are open or opening.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Returns how many connections were opened, or failed to open, since the last call.
    pub(crate) fn take_connects(&self) -> u64 {
        self.connects.take()
    }

    /// Logs what happened to bodies since the last call.
    pub(crate) fn log_exchange_counts(&self) {
        self.exchange_counts.log(self.body_budget.reserved_bytes());
    }

    fn is_usable(&self, connection: &PooledConnection) -> bool {
        connection.idle_since.elapsed() < self.max_idle.get() && !connection.stream.has_unread_data()
    }

    /// Returns whether there may be a connection to reuse.
    pub(crate) fn has_idle(&self, id: BackendId) -> bool {
        self.backends.borrow().get(&id).is_some_and(|backend| !backend.idle.is_empty())
    }

    /// Takes a connection to reuse, checked at this moment, and closes those that are no longer usable.
    pub(crate) fn take_idle(&self, id: BackendId, address: SocketAddr) -> Option<PooledConnection> {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&id)?;
        backend.idle.retain(|connection| connection.address == address && self.is_usable(connection));
        let is_reusable = |connection: &PooledConnection| connection.idle_since.elapsed() >= REUSE_DELAY;
        let index = backend.idle.iter().rposition(is_reusable)?;
        Some(backend.idle.remove(index))
    }

    /// Keeps a connection for reuse if its backend may still be sent requests, and closes it otherwise.
    pub(crate) fn return_idle(&self, id: BackendId, mut connection: PooledConnection) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&id) {
            connection.idle_since = Instant::now();
            connection.stream.mark_idle();
            backend.idle.push(connection);
        }
    }

    /// Closes the connection that has been idle longest; returns false if there is none.
    pub fn close_longest_idle(&self) -> bool {
        let mut backends = self.backends.borrow_mut();
        let idle = backends.values_mut().map(|backend| &mut backend.idle).filter(|idle| !idle.is_empty());
        idle.min_by_key(|idle| idle[0].idle_since).map(|idle| idle.remove(0)).is_some()
    }

    /// Records that a backend has answered now.
    pub(crate) fn record_answer(&self, id: BackendId) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&id) {
            backend.last_answer_at = Some(Instant::now());
        }
    }

    /// Closes, at regular intervals, connections that were idle too long or on which the backend closed or sent
    /// something. Never returns.
    pub async fn close_idle_periodically(self: Rc<ConnectionPool>) {
        loop {
            tokio::time::sleep(CLEANUP_INTERVAL).await;
            for backend in self.backends.borrow_mut().values_mut() {
                backend.idle.retain(|connection| self.is_usable(connection));
            }
        }
    }

    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, Outcome> {
        // At the limit an idle connection is closed to make room. Without one the failure is not attributed to the
        // backend.
        if self.open_connections.get() >= self.max_connections.get() && !self.close_longest_idle() {
            return Err(Outcome::NeverSent);
        }
        let open = OpenConnectionGuard::new(&self.open_connections);
        self.connects.set(self.connects.get() + 1);
        let connecting = tokio::time::timeout(self.connect_timeout.get(), TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(tcp)) => Stream::new(tcp),
            // Running out of descriptors is a problem of this proxy and says nothing about the backend.
            Ok(Err(error)) if matches!(error.raw_os_error(), Some(ENFILE | EMFILE)) => {
                return Err(Outcome::NeverSent)
            }
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        Ok(PooledConnection { stream, address, idle_since: Instant::now(), _open: open })
    }
}

impl ConnectionPools for ConnectionPool {
    fn apply_settings(&self, network: &NetworkSettings) {
        self.max_idle.set(to_duration(network.idle_timeout.times(IDLE_TIMEOUT_SHARE)));
        self.connect_timeout.set(to_duration(network.connect_timeout));
    }

    fn retain_backends(&self, ids: &HashSet<BackendId>) {
        let mut backends = self.backends.borrow_mut();
        backends.retain(|id, _| ids.contains(id));
        for id in ids {
            backends.entry(*id).or_default();
        }
    }

    /// Closes the backend's idle connections if it has not answered at all since `sent`: its machine may be
    /// unreachable and the connections dead without notice. A request written to a dead connection has to be treated
    /// as one that may have run, while a new connection that cannot be established proves that it did not.
    fn attempt_unanswered(&self, id: BackendId, sent: Instant) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&id) {
            if backend.last_answer_at.is_none_or(|at| at < sent) {
                backend.idle.clear();
            }
        }
    }
}

#[cfg(test)]
mod tests;
