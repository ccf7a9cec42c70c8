//! The time left that backends receive (`X-Time-Left`). Server and test share one thread: while the test blocks it, a
//! request that a client has written waits in the kernel, and its time runs out.
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
use lotusdeck_proxy::queueing_delay::{self, QueueingDelay};
use lotusdeck_proxy::server::{self, Server};
use lotusdeck_proxy::stall_timeouts::SharedStallTimeouts;
use rig::*;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::task::{spawn_blocking, spawn_local, LocalSet};

/// How long a test blocks the event loop.
const BLOCKED_FOR: Duration = Duration::from_millis(400);
/// How long a connection is idle or pauses within a request.
const IDLE_FOR: Duration = Duration::from_secs(1);
/// How much longer a busy machine may block the loop.
const SLACK: Duration = Duration::from_millis(700);
/// Requests that earn the retry budget for one further attempt.
const WARM_UP: usize = 25;
/// The time left that a client gives its request, in seconds.
const TIME_LEFT_S: f64 = 2.5;

/// Runs a future on a runtime that records its polls, as the program's does.
fn run_recording_polls(what: impl Future<Output = ()>) {
    let runtime =
        queueing_delay::record_polls(&mut tokio::runtime::Builder::new_current_thread()).enable_all().build();
    LocalSet::new().block_on(&runtime.unwrap(), what);
}

/// Starts a server for these backends and returns its address.
async fn start(backends: &[&BackendServer]) -> SocketAddr {
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
    let named = |(n, b): (usize, &&BackendServer)| entry(&format!("b{n}"), b.address, "SERVING");
    let entries: Vec<String> = backends.iter().enumerate().map(named).collect();
    let listed: EndpointList = serde_json::from_str(&list(1, true, &entries)).unwrap();
    host.update_endpoints(ListUpdate::Full, listed.to_update());
    let server = Server::new(host, pool, BodyBudget::new(1 << 20));
    server.set_client_limits(500, 24);
    let listener = server::listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(server.clone().run(listener, false, std::future::pending()));
    while !server.is_accepting() {
        tokio::task::yield_now().await;
    }
    address
}

/// Returns a client whose connection is kept, so that the server waits on it for the next request.
async fn kept_client(address: SocketAddr) -> Client {
    let ask = move || {
        let mut client = Client::connect(address);
        assert_eq!(client.ask("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
        client
    };
    spawn_blocking(ask).await.unwrap()
}

/// Sends a text and blocks the loop for all of [`BLOCKED_FOR`].
fn send_and_block(client: &mut Client, text: &str) {
    client.send(text);
    std::thread::sleep(BLOCKED_FOR);
}

async fn status(mut client: Client) -> u16 {
    spawn_blocking(move || client.answer().expect("a complete answer").status()).await.unwrap()
}

/// Returns the time left of a request that a backend received, in seconds.
fn time_left_of(request: &Message) -> f64 {
    request.header("x-time-left").expect("an X-Time-Left header").parse().expect("seconds")
}

fn received_time_left(backend: &BackendServer) -> f64 {
    time_left_of(&backend.next_request())
}

/// Returns the time left of each request that a backend received since the last call.
fn all_received_times(backend: &BackendServer) -> Vec<f64> {
    let requests = backend.events.try_iter().filter_map(|event| match event {
        BackendEvent::Request(request) => Some(time_left_of(&request)),
        _ => None,
    });
    requests.collect()
}

/// Asserts that `received` is at most what is left of [`TIME_LEFT_S`] after `elapsed`, and less than [`SLACK`] below
/// that.
fn assert_time_left(received: f64, elapsed: Duration) {
    let most = TIME_LEFT_S - elapsed.as_secs_f64();
    let least = most - SLACK.as_secs_f64();
    assert!(
        least < received && received <= most,
        "received {received} s, expected more than {least} s and at most {most} s"
    );
}

#[test]
fn a_backend_receives_no_more_time_than_is_left_of_a_request_that_waited_in_its_socket() {
    let backend = BackendServer::start(|_| ok("x"));
    run_recording_polls(async {
        let mut client = kept_client(start(&[&backend]).await).await;
        send_and_block(&mut client, &read(TIME_LEFT_S));
        assert_eq!(status(client).await, 200);
        assert_time_left(received_time_left(&backend), BLOCKED_FOR);
    });
}

#[test]
fn a_backend_receives_no_more_time_than_is_left_of_a_request_that_waited_in_the_listeners_queue() {
    let backend = BackendServer::start(|_| ok("x"));
    run_recording_polls(async {
        let address = start(&[&backend]).await;
        drop(kept_client(address).await);
        let mut client = Client::connect(address);
        send_and_block(&mut client, &read(TIME_LEFT_S));
        assert_eq!(status(client).await, 200);
        assert_time_left(received_time_left(&backend), BLOCKED_FOR);
    });
}

#[test]
fn a_further_attempt_receives_no_more_time_than_is_left() {
    let switched = Arc::new(AtomicBool::new(false));
    let switch = switched.clone();
    let reply = move |_| if switch.swap(false, SeqCst) { Reply::Reset } else { ok("x") };
    let backends = [(); 2].map(|()| BackendServer::start(reply.clone()));
    run_recording_polls(async {
        let mut client = kept_client(start(&[&backends[0], &backends[1]]).await).await;
        // Requests earn the retry budget; this many earn one further attempt.
        for _ in 0..WARM_UP {
            let ask = move || (client.ask(&read(TIME_LEFT_S)).status(), client);
            let (status, back) = spawn_blocking(ask).await.unwrap();
            assert_eq!(status, 200);
            client = back;
        }
        backends.iter().for_each(|backend| drop(all_received_times(backend)));
        switched.store(true, SeqCst);
        send_and_block(&mut client, &read(TIME_LEFT_S));
        assert_eq!(status(client).await, 200);
        let received: Vec<f64> = backends.iter().flat_map(all_received_times).collect();
        assert_eq!(received.len(), 2, "attempts");
        received.into_iter().for_each(|received| assert_time_left(received, BLOCKED_FOR));
    });
}

#[test]
fn a_request_whose_time_is_over_when_it_is_read_reaches_no_backend() {
    let backend = BackendServer::start(|_| ok("x"));
    run_recording_polls(async {
        let mut client = kept_client(start(&[&backend]).await).await;
        send_and_block(&mut client, &pay(BLOCKED_FOR.as_secs_f64()));
        assert_eq!((status(client).await, backend.count()), (503, 0));
    });
}

/// The time for which a connection was idle does not count against the request that ends it.
#[test]
fn a_request_on_a_connection_that_was_idle_keeps_its_time() {
    let backend = BackendServer::start(|_| ok("x"));
    run_recording_polls(async {
        let mut client = kept_client(start(&[&backend]).await).await;
        tokio::time::sleep(IDLE_FOR).await;
        client.send(&read(TIME_LEFT_S));
        assert_eq!(status(client).await, 200);
        assert_time_left(received_time_left(&backend), Duration::ZERO);
    });
}

/// With a task that yields continually the event loop does not block, so the runtime does not report its polls;
/// `yield_to_poll` records them instead.
#[test]
fn a_request_keeps_its_time_beside_a_task_that_yields() {
    let backend = BackendServer::start(|_| ok("x"));
    run_recording_polls(async {
        let mut client = kept_client(start(&[&backend]).await).await;
        let busy = spawn_local(async {
            loop {
                queueing_delay::yield_to_poll().await;
            }
        });
        tokio::time::sleep(IDLE_FOR).await;
        client.send(&read(TIME_LEFT_S));
        assert_eq!(status(client).await, 200);
        assert_time_left(received_time_left(&backend), Duration::ZERO);
        busy.abort();
    });
}

/// The time of a request that arrives in parts counts from the last of them.
#[test]
fn the_age_of_a_request_in_parts_is_that_of_its_last_byte() {
    let backend = BackendServer::start(|_| ok("x"));
    run_recording_polls(async {
        let mut client = kept_client(start(&[&backend]).await).await;
        let request = pay(TIME_LEFT_S);
        let (first, last) = request.split_at(request.len() - 1);
        client.send(first);
        tokio::time::sleep(IDLE_FOR).await;
        send_and_block(&mut client, last);
        assert_eq!(status(client).await, 200);
        assert_time_left(received_time_left(&backend), BLOCKED_FOR);
    });
}

/// A poll bounds the arrival of bytes only for sockets that were registered before it: on any other they may have
/// arrived long before.
#[test]
fn a_poll_counts_for_the_sockets_that_were_registered_before_it() {
    run_recording_polls(async {
        let wait_for_poll = || tokio::time::sleep(Duration::from_millis(1));
        wait_for_poll().await;
        let long_ago = Instant::now() - IDLE_FOR;
        let arrivals = QueueingDelay::new(long_ago);
        // Does what the event loop does when a socket has become readable.
        let readable = || {
            poll_fn(|cx| {
                let _ = arrivals.poll_ready(cx, |cx| {
                    cx.waker().wake_by_ref();
                    Poll::Ready(())
                });
                arrivals.poll_ready(cx, |_| Poll::Ready(arrivals.earliest_arrival()))
            })
        };
        assert_eq!(readable().await, long_ago);
        wait_for_poll().await;
        assert_ne!(readable().await, long_ago, "it was registered before this poll");
    });
}
