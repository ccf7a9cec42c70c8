//! The clients' side of the proxy: the listener, the limits and the graceful shutdown.

use crate::acceptor::{Acceptor, Eviction};
use crate::body_budget::BodyBudget;
use crate::connection_pool::ConnectionPool;
use crate::front_state::FrontState;
use crate::queueing_delay;
use crate::request_handler::RequestHandler;
use lotusdeck_core::{to_duration, Host};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;
use tracing::info;

/// A process is killed so long after SIGTERM and the longest deadline, of which no more than `MAX_ANSWER_TIME` counts.
const KILL_GRACE: Duration = Duration::from_millis(700);
const MAX_ANSWER_TIME: Duration = Duration::from_secs(3);
/// After SIGTERM new connections go on coming for up to 0.4 s.
const ACCEPT_LINGER: Duration = Duration::from_millis(500);
/// Kept before the end for the last answers' way out.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;
/// Connections accepted before the event loop goes on to what else is due. The discovery watch and the clients that are
/// connected wait behind these at most; accepting takes some 20 us a connection, so that 16 of them take well under a
/// millisecond.
const ACCEPTS_PER_TURN: u32 = 16;

/// The clients' side of the proxy.
pub struct Server {
    host: Rc<Host>,
    pool: Rc<ConnectionPool>,
    front: Rc<FrontState>,
    acceptor: Rc<Acceptor>,
    is_accepting: Cell<bool>,
}

/// Listens at an address.
///
/// # Errors
/// The address cannot be used.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart comes back while old connections still linger
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Server {
    /// A server that accepts nobody yet.
    pub fn new(host: Rc<Host>, pool: Rc<ConnectionPool>, body_budget: BodyBudget) -> Rc<Server> {
        let front = Rc::new(FrontState::default());
        let handler = Rc::new(RequestHandler::new(host.clone(), pool.clone(), body_budget, front.clone()));
        let acceptor = Rc::new(Acceptor::new(host.clone(), pool.clone(), front.clone(), handler));
        Rc::new(Server { host, pool, front, acceptor, is_accepting: Cell::new(false) })
    }

    /// Whether this process accepts clients.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    /// Client connections that are open.
    pub fn client_count(&self) -> usize {
        self.front.clients.len()
    }

    /// Sets how many connections are kept open, and how many more until each has its answer. Those that are beyond the
    /// limit close when they are idle.
    pub fn set_client_limits(&self, max_clients: usize, extra_clients: usize) {
        self.front.max_clients.set(max_clients);
        self.acceptor.extra_clients.set(extra_clients);
        while self.front.clients.counts.total() > max_clients
            && self.acceptor.evict_one() != Eviction::NobodyIdle
        {}
    }

    /// Logs the counts of clients and connections since the last call.
    pub fn log_counts(&self) {
        info!(
            clients = self.client_count(),
            without_request = self.front.clients.counts.without_request(),
            accepted = self.acceptor.accepted.take(),
            evicted = self.acceptor.evicted.take(),
            rank_changes = self.front.clients.reclassified.take(),
            invalid_requests = self.front.invalid_requests.take(),
            upstreams = self.pool.open_connections(),
            connects = self.pool.take_connects(),
            "clients"
        );
    }

    /// Accepts until told to stop, then answers what it has accepted and returns. With an inherited listener the queue
    /// outlives this process and is left to the next; an own one is drained, as it ends with this one.
    pub async fn run(self: Rc<Self>, listener: TcpListener, inherited: bool, stop: impl Future<Output = ()>) {
        self.is_accepting.set(true);
        self.accept_until(&listener, stop).await;
        self.is_accepting.set(false);
        let stopped_at = Instant::now();
        // Past the longest deadline nothing is owed any more; a client that holds a connection open with half of a
        // request does not keep the program.
        let settings = self.host.settings();
        let longest = to_duration(settings.network.deadlines.iter().max().copied().unwrap_or_default());
        let ends_at = stopped_at + longest + KILL_GRACE;
        let answers_end_at = stopped_at + longest.min(MAX_ANSWER_TIME) + KILL_GRACE - FLUSH_TIME;
        self.front.shutdown_deadline.set(Some(answers_end_at));
        if inherited {
            drop(listener);
        } else {
            // Open connections go on as well for that time: clients that lost theirs may find no other proxy.
            self.acceptor.drain(listener, stopped_at + ACCEPT_LINGER).await;
        }
        self.front.is_stopping.set(true);
        while self.client_count() > 0 && Instant::now() < ends_at {
            // Told again and again: one whose request had just arrived is not closed at the first time.
            self.front.clients.for_each(|client| client.close_requested.notify_one());
            self.acceptor.wait_for_departure().await;
        }
    }

    async fn accept_until(&self, listener: &TcpListener, stop: impl Future<Output = ()>) {
        let mut stop = pin!(stop);
        let mut accepts = 0;
        loop {
            tokio::select! {
                () = self.acceptor.accept(listener) => {}
                () = &mut stop => return,
            }
            accepts += 1;
            if accepts % ACCEPTS_PER_TURN == 0 {
                queueing_delay::yield_to_poll().await;
            }
        }
    }
}
