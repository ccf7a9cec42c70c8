//! The clients' side of the proxy: the listener, the limits and the graceful shutdown.

use crate::acceptor::{Acceptor, Eviction};
use crate::body_budget::BodyBudget;
use crate::connection_pool::ConnectionPool;
use crate::front_state::FrontState;
use crate::queueing_delay;
use crate::request_handler::RequestHandler;
use crate::shared_ids::SharedIds;
use lotusdeck_core::{to_duration, Host};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::info;

/// The time between the longest deadline, counted from SIGTERM, and the kill of the process.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Maximum part of the longest deadline that counts for the last answers after SIGTERM.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(3);
/// How long connections are accepted after SIGTERM: new ones arrive for up to 0.4 s.
const ACCEPT_LINGER: Duration = Duration::from_millis(500);
/// How long the process goes on after the earliest kill while answers are being passed on to clients.
const MAX_RELAY_TIME: Duration = Duration::from_secs(30);
/// Time reserved before the end of the process for sending the last answers.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Maximum number of connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;
/// Maximum number of connections accepted before the event loop runs other tasks. The discovery watch and connected
/// clients wait for no more than these: accepting takes some 20 us per connection, so 16 of them take well under a
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
/// Returns an error if the address cannot be used.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // lets a new process bind while old connections linger
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Server {
    /// Creates a server that accepts no clients yet.
    pub fn new(host: Rc<Host>, pool: Rc<ConnectionPool>, body_budget: BodyBudget) -> Rc<Server> {
        let front = Rc::new(FrontState::default());
        let handler = Rc::new(RequestHandler::new(host.clone(), pool.clone(), body_budget, front.clone()));
        let acceptor = Rc::new(Acceptor::new(host.clone(), pool.clone(), front.clone(), handler));
        Rc::new(Server { host, pool, front, acceptor, is_accepting: Cell::new(false) })
    }

    /// Shares the ids of requests from now on with the other process of an upgrade.
    pub fn share_ids(&self, shared: SharedIds) {
        self.acceptor.handler.share_ids(shared);
    }

    /// Returns whether this process accepts clients.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    /// Returns the number of open client connections.
    pub fn client_count(&self) -> usize {
        self.front.clients.len()
    }

    /// Sets the limit on connections that are kept open, and how many more may be open while others are still
    /// closing. Connections beyond the limit close once they are idle.
    pub fn set_client_limits(&self, max_clients: usize, extra_clients: usize) {
        self.front.max_clients.set(max_clients);
        self.acceptor.extra_clients.set(extra_clients);
        while self.front.clients.counts.total() > max_clients
            && self.acceptor.evict_one() != Eviction::NoneEligible
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
        self.pool.log_exchange_counts();
    }

    /// Accepts connections until `stop` completes, then answers the requests on them and returns. The queue of an
    /// inherited listener outlives this process and is left to the next one; the queue of any other listener is
    /// drained, as it ends with this process.
    pub async fn run(self: Rc<Self>, listener: TcpListener, inherited: bool, stop: impl Future<Output = ()>) {
        self.is_accepting.set(true);
        self.accept_until(&listener, stop).await;
        self.is_accepting.set(false);
        let stopped_at = Instant::now();
        // No answers are due after the longest deadline: requests that came under a longer one get theirs before. A client
        // that holds a connection open with an incomplete request does not keep the program running, and one that is
        // being sent a large answer does for a while.
        let settings = self.host.settings();
        let longest_deadline =
            to_duration(settings.network.deadlines.iter().max().copied().unwrap_or_default());
        let ends_at = stopped_at + longest_deadline + KILL_GRACE;
        let answers_end_at = stopped_at + longest_deadline.min(MAX_ANSWER_TIME) + KILL_GRACE - FLUSH_TIME;
        self.front.shutdown_deadline.set(Some(answers_end_at));
        spawn_local(expire_requests_at(answers_end_at, self.host.clone()));
        if inherited {
            drop(listener);
        } else {
            // Open connections are served during that time as well: clients that lost theirs may find no other
            // proxy.
            self.acceptor.drain(listener, stopped_at + ACCEPT_LINGER).await;
        }
        self.front.is_stopping.set(true);
        while self.client_count() > 0 && self.goes_on_at(Instant::now(), ends_at) {
            // Repeated, as a connection on which a request had just arrived does not close the first time.
            self.front.clients.for_each(|client| client.close_requested.notify_one());
            self.acceptor.wait_for_connection_end().await;
        }
    }

    /// Returns whether the process goes on after SIGTERM, with clients that have not closed. It may be killed from `ends_at`
    /// on, and until it is, answers that are being passed on arrive.
    fn goes_on_at(&self, now: Instant, ends_at: Instant) -> bool {
        let is_passing_on = || self.front.clients.any(|client| client.is_being_answered(now));
        now < ends_at || now < ends_at + MAX_RELAY_TIME && is_passing_on()
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

/// Answers the requests that are still open at the time `end`. Their own deadlines may be later than the kill of the
/// process: they may exceed [`MAX_ANSWER_TIME`], or the settings in force when they arrived may have been replaced.
async fn expire_requests_at(end: Instant, host: Rc<Host>) {
    tokio::time::sleep_until(end).await;
    host.expire_open_requests();
}
