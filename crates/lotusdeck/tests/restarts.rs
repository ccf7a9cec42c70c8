//! A process that is killed and restarted is ready in time, even if discovery does not answer.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Nine in ten restarted processes must be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
const RESTARTS: usize = 10;

/// Discovery accepts calls and never answers, so the process has only the list from its configuration. A process is
/// ready when it reports so and serves.
#[test]
fn nine_in_ten_restarted_processes_are_ready_in_time_without_discovery() {
    let backend = BackendServer::start(|_| ok("x"));
    let known = [entry("b0", backend.address, "SERVING")];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut proxy = Proxy::with_inherited_listener(&known, &listener);
    let mut late = Vec::new();
    for restart in 0..RESTARTS {
        let started = Instant::now();
        proxy.child.kill().unwrap();
        proxy.child.wait().unwrap();
        proxy = proxy.successor(&known, &listener);
        let mut client = proxy.client();
        assert_eq!(client.ask("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
        assert_eq!(client.ask(&read(3.0)).status(), 200);
        let took = started.elapsed();
        println!("restart {restart}: ready after {took:?}");
        late.extend((took > READY_WITHIN).then_some(took));
    }
    assert!(late.len() * 10 <= RESTARTS, "ready too late: {late:?}");
}
