//! Requests that arrive in the same iteration of the event loop in which their connection would be closed
//! (docs/crossings.md). Client, kernel and event loop are real, time advances only where the test advances it, and
//! client and server share one thread: after a timer is due, only the test runs until the task that waits for the
//! timer is polled.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use lotusdeck_core::cordon::Cordon;
use lotusdeck_core::{Clock, ConnectionPools, Host, OptionalServices};
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::{Balancer, ListUpdate};
use lotusdeck_proxy::body_budget::BodyBudget;
use lotusdeck_proxy::connection_pool::ConnectionPool;
use lotusdeck_proxy::endpoint_list::EndpointList;
use lotusdeck_proxy::server::{self, Server};
use lotusdeck_proxy::stall_timeouts::SharedStallTimeouts;
use rig::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::{spawn_blocking, spawn_local, yield_now, JoinHandle, LocalSet};

/// Number of connections of each kind.
const CLIENTS_PER_KIND: usize = 20;
/// A silent connection is closed after this time (`IDLE_TIMEOUT` of proxy/src/client.rs).
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// How long idle connections stay open after SIGTERM (`ACCEPT_LINGER` of proxy/src/server.rs).
const LINGER: Duration = Duration::from_millis(500);

/// Added to a timer's duration so that it is certainly due, as the runtime's timers have a resolution of one
/// millisecond.
const TIMER_TOLERANCE: Duration = Duration::from_millis(1);

/// Keeps the runtime from advancing its paused clock while all tasks wait for sockets, a state that it treats as
/// idle: it never advances the clock while a blocking task runs.
struct PausedClock(#[allow(dead_code)] mpsc::Sender<()>);

impl PausedClock {
    fn hold() -> PausedClock {
        let (held, wait) = mpsc::channel();
        spawn_blocking(move || wait.recv());
        PausedClock(held)
    }
}

/// A server for one backend, on a port that the kernel picks, and the sender that stops it.
struct Running {
    server: Rc<Server>,
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: JoinHandle<()>,
}

impl Running {
    fn start(backend: SocketAddr) -> Running {
        let settings = Settings::read(&serde_json::from_str(SETTINGS).unwrap()).expect("valid settings");
        let pool = Rc::new(ConnectionPool::new(
            &settings.network,
            BodyBudget::new(1 << 20),
            SharedStallTimeouts::default(),
        ));
        let balancer = Balancer::new(settings.config.clone(), 1).expect("a valid configuration");
        let no_file = std::env::temp_dir().join("lotusdeck-no-such-proxy");
        let pools: Vec<Rc<dyn ConnectionPools>> = vec![pool.clone()];
        let host = Host::new(
            balancer,
            settings,
            Clock::new(),
            pools,
            Cordon::load(&no_file),
            OptionalServices::default(),
        );
        let listed: EndpointList =
            serde_json::from_str(&list(1, true, &[entry("b0", backend, "SERVING")])).unwrap();
        host.update_endpoints(ListUpdate::Full, listed.to_update());
        let server = Server::new(host, pool, BodyBudget::new(1 << 20));
        server.set_client_limits(500, 24);
        let listener = server::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let ended = spawn_local(server.clone().run(listener, false, async { drop(stopped.await) }));
        Running { server, address, stop, ended }
    }

    /// Runs the event loop until `done` returns true; no timer becomes due meanwhile.
    async fn wait_until(&self, done: impl Fn(&Server) -> bool) {
        let end = Instant::now() + TEST_TIMEOUT;
        while !done(&self.server) {
            assert!(Instant::now() < end, "the server never reached the expected state");
            yield_now().await;
        }
    }

    /// Returns clients that have received an answer and keep their connections open.
    async fn kept_clients(&self) -> Vec<Client> {
        let address = self.address;
        let ask = move || {
            let mut client = Client::connect(address);
            assert_eq!(client.ask("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
            client
        };
        let mut clients = Vec::new();
        for _ in 0..CLIENTS_PER_KIND {
            clients.push(spawn_blocking(ask).await.unwrap());
        }
        clients
    }
}

/// Asserts that each client is served, and returns the clients with their connections.
async fn assert_all_served(clients: Vec<Client>) -> Vec<Client> {
    let mut served = Vec::new();
    for (n, mut client) in clients.into_iter().enumerate() {
        let answered = spawn_blocking(move || (client.answer().map(|a| a.status()), client)).await;
        let (status, client) = answered.unwrap();
        assert_eq!(status, Some(200), "connection {n} was closed instead of its request being answered");
        served.push(client);
    }
    served
}

/// Runs a scenario with a server for one backend and the clients that it has answered, with the clock paused.
async fn with_kept_clients(scenario: impl AsyncFnOnce(Running, Vec<Client>)) {
    let backend = BackendServer::start(|_| ok("x"));
    LocalSet::new()
        .run_until(async {
            let _paused = PausedClock::hold();
            let running = Running::start(backend.address);
            let clients = running.kept_clients().await;
            scenario(running, clients).await;
        })
        .await;
}

/// The idle timeout of a connection, kept or new, expires, and a request arrives before the loop has closed the
/// connection: it is answered.
#[tokio::test(start_paused = true)]
async fn a_request_that_meets_the_idle_timeout_of_its_connection_is_answered() {
    with_kept_clients(async |running, mut clients| {
        clients.extend((0..CLIENTS_PER_KIND).map(|_| Client::connect(running.address)));
        running.wait_until(|server| server.client_count() == 2 * CLIENTS_PER_KIND).await;
        tokio::time::advance(IDLE_TIMEOUT + TIMER_TOLERANCE).await;
        // The timers have expired, but no connection's task has been polled since.
        clients.iter_mut().for_each(|client| client.send(&pay(9.0)));
        assert_all_served(clients).await;
    })
    .await;
}

/// After SIGTERM and the linger time, idle connections are closed. A request that arrives before the event loop
/// closes its connection is answered, and the connection is closed after the answer.
#[tokio::test(start_paused = true)]
async fn requests_that_meet_the_end_of_the_linger_are_answered() {
    with_kept_clients(async |running, mut clients| {
        let Running { server, stop, ended, .. } = running;
        stop.send(()).unwrap();
        while server.is_accepting() {
            yield_now().await;
        }
        tokio::time::advance(LINGER + TIMER_TOLERANCE).await;
        clients.iter_mut().for_each(|client| client.send(&pay(9.0)));
        for mut client in assert_all_served(clients).await {
            assert!(spawn_blocking(move || client.ended()).await.unwrap());
        }
        ended.await.unwrap();
    })
    .await;
}
