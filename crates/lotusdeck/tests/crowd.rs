//! Idle clients use up the connections that the process may hold while discovery is down: requests on new connections
//! are served in time.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::sockets::*;
use rig::*;
use std::time::{Duration, Instant};

/// The limit on descriptors in the configuration.
const SOCKETS: u32 = 96;
/// More connections than the process may hold, all of them in the listener's queue when it resumes.
const CROWD: usize = 150;
const ROUNDS: usize = 3;
/// The time left that a client gives its request, in seconds; a request that is served gets its answer within it.
const TIME_LEFT_S: f64 = 3.0;

/// What idle clients send: nothing, or a head that never ends.
const IDLE_BYTES: [&[&str]; 3] = [&[""], &["GET /read/k1 HTTP/1.1\r\nHost: s\r\n"], &["", "GET /rea"]];

/// Starts a proxy whose discovery answers every call with 503.
fn without_discovery(backend: &BackendServer) -> (Proxy, BackendServer) {
    let down = BackendServer::start(|_| Reply::Answer(503, "", String::new()));
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], SOCKETS, SETTINGS);
    proxy.move_discovery(down.address);
    proxy.signal("HUP");
    down.next_request();
    (proxy, down)
}

/// In each round the queue holds all idle clients of the round and three new clients with requests: one before them,
/// one in the middle and one after them.
#[test]
fn new_clients_are_served_in_time_among_idle_ones_while_discovery_is_down() {
    let mut late = Vec::new();
    for idle in IDLE_BYTES {
        let backend = BackendServer::start(|_| ok("x"));
        let (proxy, down) = without_discovery(&backend);
        let mut crowd = Vec::new();
        for round in 0..ROUNDS {
            stop_process(&proxy);
            let mut new_clients = Vec::new();
            for position in 0..=CROWD {
                if [0, CROWD / 2, CROWD].contains(&position) {
                    let mut client = proxy.client();
                    client.send(&read(TIME_LEFT_S));
                    new_clients.push((position, client));
                }
                let mut client = proxy.client();
                client.send(idle[position % idle.len()]);
                crowd.push(client);
            }
            let woken = Instant::now();
            proxy.signal("CONT");
            for (position, mut client) in new_clients {
                let status = client.answer().map(|answer| answer.status());
                let took = woken.elapsed();
                println!("{idle:?}, round {round}, after {position} idle clients: {status:?} after {took:?}");
                if status != Some(200) || took > Duration::from_secs_f64(TIME_LEFT_S) {
                    late.push(format!(
                        "{idle:?}, round {round}, after {position} idle clients: {status:?} after {took:?}"
                    ));
                }
            }
        }
        down.next_request(); // discovery is still down and is called again
    }
    assert!(late.is_empty(), "{late:#?}");
}
