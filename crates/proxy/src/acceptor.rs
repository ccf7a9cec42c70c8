//! Accepts client connections, and makes room for them where all places are taken.

use crate::client::Client;
use crate::client_connection::serve;
use crate::clients::Choice;
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

/// Log lines about a failing listener come no faster.
const WARNING_INTERVAL: Micros = Micros(1_000_000);
/// Where no connection ends by itself the limit is checked again after this time.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Whether a connection is closed to make room.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// A connection was told to close.
    Requested,
    /// Requests are open or on their way on all connections.
    NobodyIdle,
    /// The search has to go on in another turn of the event loop.
    Unfinished,
}

/// Accepts client connections.
pub(crate) struct Acceptor {
    host: Rc<Host>,
    pool: Rc<ConnectionPool>,
    front: Rc<FrontState>,
    handler: Rc<RequestHandler>,
    /// Connections beyond the limit that are accepted while those told to close are still there.
    pub extra_clients: Cell<usize>,
    /// Where clients wait until they are accepted.
    queue: AcceptQueue,
    client_left: Notify,
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
            client_left: Notify::new(),
            last_warning_at: Cell::default(),
            accepted: Cell::new(0),
            evicted: Cell::new(0),
        }
    }

    /// Ends when a connection has ended, or after a short time.
    pub(crate) async fn wait_for_departure(&self) {
        let _ = tokio::time::timeout(CAPACITY_CHECK_INTERVAL, self.client_left.notified()).await;
    }

    /// Accepts one connection, once there is room.
    pub(crate) async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let clients = &self.front.clients;
        let max_clients = &self.front.max_clients;
        while clients.len() >= max_clients.get() + self.extra_clients.get() {
            if clients.counts.total() > max_clients.get() && self.evict_one() == Eviction::Unfinished {
                queueing_delay::yield_to_poll().await;
                continue;
            }
            // Those that were told to close have to be given the time: telling more makes no room sooner.
            self.wait_for_departure().await;
        }
        match self.queue.accept(listener).await {
            Ok((tcp, since)) => self.take_in(tcp, since),
            Err(error) => self.recover(&error).await,
        }
    }

    /// Out of descriptors, or a client that left in the queue: never the end of the program.
    async fn recover(&self, error: &std::io::Error) {
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

    /// Goes on accepting while the front still sends new clients, then takes all that the queue holds: what the kernel
    /// has accepted is owed an answer.
    pub(crate) async fn drain(self: &Rc<Self>, listener: TcpListener, until: tokio::time::Instant) {
        let mut linger = pin!(tokio::time::sleep_until(until));
        loop {
            tokio::select! {
                () = self.accept(&listener) => {}
                () = &mut linger => break,
            }
        }
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            if let Ok(tcp) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                self.take_in(tcp, self.queue.earliest_arrival());
            }
        }
    }

    /// Tells the connection that is evicted first to close.
    pub(crate) fn evict_one(&self) -> Eviction {
        let max_clients = self.front.max_clients.get();
        match self.front.clients.choose_evicted(tokio::time::Instant::now(), max_clients) {
            Choice::Evicted(client) => {
                self.evicted.set(self.evicted.get() + 1);
                client.close_requested.notify_one();
                Eviction::Requested
            }
            Choice::Nobody => Eviction::NobodyIdle,
            Choice::Unfinished => Eviction::Unfinished,
        }
    }

    /// Serves a connection that can have waited in the queue since then.
    fn take_in(self: &Rc<Self>, tcp: TcpStream, queued_since: std::time::Instant) {
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
            acceptor.client_left.notify_one();
        });
    }
}
