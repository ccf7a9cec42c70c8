//! Connections to servers: establishing them, and the pool of idle ones.

use crate::server_login::Login;
use crate::statements::ServerStatements;
use crate::wire::{CancelKey, Parameter};
use bytes::BytesMut;
use lotusdeck_core::{to_duration, ConnectionPools};
use lotusdeck_policy::settings::NetworkSettings;
use lotusdeck_policy::{BackendId, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The number of open connections, and the tasks that wait for one.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    freed: Notify,
}

/// Counts one open connection until the slot is dropped, which wakes a task that waits for a connection.
struct Slot(Rc<OpenConnections>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.freed.notify_one();
    }
}

/// A connection to a server, logged in. Dropping it closes the socket, upon which the server rolls back an open
/// transaction.
pub(crate) struct Upstream {
    pub tcp: TcpStream,
    pub address: SocketAddr,
    /// Bytes received and not yet forwarded.
    pub input: RefCell<BytesMut>,
    /// Bytes to be written.
    pub output: RefCell<BytesMut>,
    /// The key of a CancelRequest for this connection.
    pub cancel_key: CancelKey,
    /// The statements that are prepared on this connection.
    pub statements: RefCell<ServerStatements>,
    /// When the connection became idle, or was established.
    idle_since: Instant,
    _slot: Slot,
}

/// The connections of a front to all its servers.
pub struct Servers {
    login: Login,
    /// The idle connections of each backend, in the order in which they became idle.
    idle: RefCell<HashMap<BackendId, Vec<Upstream>>>,
    open: Rc<OpenConnections>,
    max_connections: usize,
    idle_timeout: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    /// The parameters that a server reported during the latest login.
    parameters: RefCell<Vec<Parameter>>,
}

impl Servers {
    /// Creates a pool without connections; at most `max_connections` will be open at a time.
    pub fn new(login: Login, network: &NetworkSettings, max_connections: usize) -> Rc<Servers> {
        Rc::new(Servers {
            login,
            idle: RefCell::default(),
            open: Rc::default(),
            max_connections,
            idle_timeout: Cell::new(to_duration(network.idle_timeout)),
            connect_timeout: Cell::new(to_duration(network.connect_timeout)),
            parameters: RefCell::default(),
        })
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open_connections(&self) -> usize {
        self.open.count.get()
    }

    /// Returns the parameters that a server reported during the latest login (ParameterStatus).
    pub fn parameters(&self) -> Vec<Parameter> {
        self.parameters.borrow().clone()
    }

    /// Takes an idle connection to a backend, or establishes one. If the maximum number is open and none is idle, waits
    /// until one becomes idle or is closed; waiting tasks are woken in the order of their arrival. The core cancels
    /// attempts whose deadline passes in the meantime.
    pub(crate) async fn acquire(&self, id: BackendId, address: SocketAddr) -> Result<Upstream, Outcome> {
        loop {
            if let Some(upstream) = self.take_idle(id, address) {
                return Ok(upstream);
            }
            if self.open_connections() < self.max_connections || self.close_oldest() {
                return self.connect(address).await;
            }
            self.open.freed.notified().await;
        }
    }

    /// Takes the most recently used idle connection to a backend, after closing those that are unusable.
    fn take_idle(&self, id: BackendId, address: SocketAddr) -> Option<Upstream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id).or_default();
        // An idle connection that has become readable is not used: as a rule the server is closing it.
        let is_silent = |u: &Upstream| {
            let read = u.tcp.try_read(&mut [0]);
            matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
        };
        connections.retain(|u| {
            u.address == address && u.idle_since.elapsed() < self.idle_timeout.get() && is_silent(u)
        });
        connections.pop()
    }

    /// Returns a connection to the pool; closes it if no connections to the backend are to be kept.
    pub(crate) fn release(&self, id: BackendId, mut upstream: Upstream) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&id) {
            upstream.idle_since = Instant::now();
            connections.push(upstream);
            self.open.freed.notify_one();
        }
    }

    /// Closes the connection that has been idle longest; returns whether there was an idle one.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let non_empty = idle.values_mut().filter(|connections| !connections.is_empty());
        non_empty
            .min_by_key(|connections| connections[0].idle_since)
            .map(|connections| connections.remove(0))
            .is_some()
    }

    async fn connect(&self, address: SocketAddr) -> Result<Upstream, Outcome> {
        self.open.count.set(self.open_connections() + 1);
        let slot = Slot(self.open.clone());
        let login = tokio::time::timeout(self.connect_timeout.get(), self.login.log_in(address)).await;
        let session = match login {
            Ok(Ok(session)) => session,
            Ok(Err(failure)) => return Err(failure.into_outcome(address)),
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        *self.parameters.borrow_mut() = session.parameters;
        Ok(Upstream {
            tcp: session.tcp,
            address,
            input: RefCell::new(session.input),
            output: RefCell::default(),
            cancel_key: session.cancel_key,
            statements: RefCell::default(),
            idle_since: Instant::now(),
            _slot: slot,
        })
    }
}

impl ConnectionPools for Servers {
    fn retain_backends(&self, backends: &HashSet<BackendId>) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|id, _| backends.contains(id));
        for id in backends {
            idle.entry(*id).or_default();
        }
    }

    /// Closes the connections to the backend that were already idle at `sent`: they may be broken without having been
    /// closed.
    fn attempt_unanswered(&self, backend: BackendId, sent: Instant) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&backend) {
            connections.retain(|u| u.idle_since > sent);
        }
    }

    fn apply_settings(&self, network: &NetworkSettings) {
        self.idle_timeout.set(to_duration(network.idle_timeout));
        self.connect_timeout.set(to_duration(network.connect_timeout));
    }
}
