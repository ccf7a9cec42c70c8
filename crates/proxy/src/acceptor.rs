//! Accepts client connections, and closes idle ones to make room when the limit on open connections is reached.

use crate::client::Client;
use crate::client_connection::serve;
use crate::clients::EvictionChoice;
use crate::connection_pool::ConnectionPool;
use crate::front_state::FrontState;
use crate::queueing_delay::{self, AcceptQueue};
use crate::request_handler::RequestHandler;
use crate::stream::Stream;
use lotusdeck_core::Host;
use lotusdeck_policy::{Micros, Time};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tracing::warn;

/// The shortest interval between two log lines about a failing listener.
const WARNING_INTERVAL: Micros = Micros(1_000_000);
/// The longest wait for a connection to end before the limit is checked again.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The result of trying to close a connection to make room.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// A connection was asked to close.
    Requested,
    /// None can be closed: each has an open or incoming request, or is closing already.
    NoneEligible,
    /// The search has to continue in another turn of the event loop.
    Unfinished,
}

/// Accepts client connections.
pub(crate) struct Acceptor {
    host: Rc<Host>,
    pool: Rc<ConnectionPool>,
    front: Rc<FrontState>,
    pub handler: Rc<RequestHandler>,
    /// How many connections beyond the limit may be open while those asked to close have not ended.
    pub extra_clients: Cell<usize>,
    /// The queue in which clients wait until they are accepted.
    queue: AcceptQueue,
    connection_ended: Notify,
    last_warning_at: Cell<Time>,
    /// Connections accepted since the last log line.
    pub accepted: Cell<u64>,
    /// Connections closed to make room since the last log line.
    pub evicted: Cell<u64>,
}

impl Acceptor {
    pub(crate) fn new(
        host: Rc<Host>, pool: Rc<ConnectionPool>, front: Rc<FrontState>, handler: Rc<RequestHandler>,
    ) -> Acceptor {
        Acceptor {
            host,
            pool,
            front,
            handler,
            extra_clients: Cell::new(0),
            queue: AcceptQueue::new(),
            connection_ended: Notify::new(),
            last_warning_at: Cell::default(),
            accepted: Cell::new(0),
            evicted: Cell::new(0),
        }
    }

    /// Waits until a connection has ended, for at most `CAPACITY_CHECK_INTERVAL`.
    pub(crate) async fn wait_for_connection_end(&self) {
        let _ = tokio::time::timeout(CAPACITY_CHECK_INTERVAL, self.connection_ended.notified()).await;
    }

    /// Waits until there is room, then accepts one connection.
    pub(crate) async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let clients = &self.front.clients;
        let max_clients = &self.front.max_clients;
        while clients.len() >= max_clients.get() + self.extra_clients.get() {
            if clients.counts.total() > max_clients.get() && self.evict_one() == Eviction::Unfinished {
                queueing_delay::yield_to_poll().await;
                continue;
            }
            // Connections that were asked to close need time to do so: asking more of them to close makes no room
            // sooner.
            self.wait_for_connection_end().await;
        }
        match self.queue.accept(listener).await {
            Ok((tcp, since)) => self.serve_accepted(tcp, since),
            Err(error) => self.handle_accept_error(&error).await,
        }
    }

    /// Handles a failed accept, as when descriptors have run out or a client disconnected while it was queued, without
    /// ending the program: closes a connection to free a descriptor, logs the error and pauses. There is no pause if
    /// the client disconnected and another connection was closed.
    async fn handle_accept_error(&self, error: &std::io::Error) {
        let has_capacity = self.evict_one() == Eviction::Requested || self.pool.close_longest_idle();
        let now = self.host.clock.now();
        if now - self.last_warning_at.get() >= WARNING_INTERVAL {
            self.last_warning_at.set(now);
            let clients = self.front.clients.len();
            warn!(%error, clients, upstreams = self.pool.open_connections(), "accept failed");
        }
        if !has_capacity || error.kind() != std::io::ErrorKind::ConnectionAborted {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }

    /// Accepts connections until `until`, while new clients may still connect, then accepts all that remain in the
    /// queue: every connection that the kernel has accepted must be answered.
    pub(crate) async fn drain(self: &Rc<Self>, listener: TcpListener, until: tokio::time::Instant) {
        let mut accept_period = pin!(tokio::time::sleep_until(until));
        loop {
            tokio::select! {
                () = self.accept(&listener) => {}
                () = &mut accept_period => break,
            }
        }
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            if let Ok(tcp) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                self.serve_accepted(tcp, self.queue.earliest_arrival());
            }
        }
    }

    /// Asks the first connection in the eviction order to close.
    pub(crate) fn evict_one(&self) -> Eviction {
        let max_clients = self.front.max_clients.get();
        match self.front.clients.choose_evicted(tokio::time::Instant::now(), max_clients) {
            EvictionChoice::Evicted(client) => {
                self.evicted.set(self.evicted.get() + 1);
                client.close_requested.notify_one();
                Eviction::Requested
            }
            EvictionChoice::NoneEligible => Eviction::NoneEligible,
            EvictionChoice::Unfinished => Eviction::Unfinished,
        }
    }

    /// Starts serving an accepted connection, which may have waited in the queue since `queued_since`, and evicts
    /// another one if the limit is reached.
    fn serve_accepted(self: &Rc<Self>, tcp: TcpStream, queued_since: std::time::Instant) {
        let clients = &self.front.clients;
        if clients.counts.total() >= self.front.max_clients.get() {
            self.evict_one();
        }
        self.accepted.set(self.accepted.get() + 1);
        let stream = Stream::accepted(tcp, queued_since);
        let client = Rc::new(Client::new(clients.next_id(), stream, clients.counts.clone()));
        clients.insert(client.clone());
        let acceptor = self.clone();
        tokio::task::spawn_local(async move {
            serve(&acceptor.handler, &acceptor.front, &client).await;
            acceptor.front.clients.remove(&client);
            acceptor.connection_ended.notify_one();
        });
    }
}
