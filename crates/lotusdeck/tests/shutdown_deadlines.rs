//! Requests that are open when the process is asked to stop get their final answer before it may be killed.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time from the longest deadline, 3 s at most, counted from SIGTERM, to the kill.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The longest deadline that counts for the kill.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);

/// Returns settings whose classes have this deadline.
fn settings_with_deadline(deadline: Duration) -> String {
    SETTINGS.replace(r#""deadline_us":3000000"#, &format!(r#""deadline_us":{}"#, deadline.as_micros()))
}

/// Sends SIGTERM while a request is open at a backend that does not answer, and checks that its client gets a whole
/// answer before the process may be killed.
fn check_answer_before_kill(proxy: &mut Proxy, mut client: Client, longest_deadline: Duration) {
    let stopped_at = Instant::now();
    proxy.signal("TERM");
    let answer = client.answer().expect("an answer before the connection ends");
    let answered_after = stopped_at.elapsed();
    assert_eq!(answer.status(), 502, "it may have run");
    let killed_after = longest_deadline.min(MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE;
    assert!(answered_after < killed_after, "answered {answered_after:?} after SIGTERM");
    assert!(proxy.child.wait().unwrap().success());
}

/// Guards against an order that is never answered because settings with a shorter deadline came between it and SIGTERM.
#[test]
fn request_with_a_longer_deadline_than_the_settings_in_force_is_answered_before_the_kill() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(held.clone()));
    let settings = settings_with_deadline(Duration::from_secs(4));
    let mut proxy = Proxy::with_list(backend.address, &settings);
    let mut client = proxy.client();
    client.send(&pay(4.0));
    backend.next_request();
    let shorter = settings_with_deadline(Duration::from_secs(2));
    proxy.reconfigure(&proxy.config.1.replace(&settings, &shorter));
    proxy.wait_for_log("configuration applied");
    check_answer_before_kill(&mut proxy, client, Duration::from_secs(2));
    gate.open();
}

/// Guards against the same with a deadline that is longer than the time until the kill.
#[test]
fn request_whose_deadline_is_after_the_kill_is_answered_before_it() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(held.clone()));
    let longest_deadline = Duration::from_secs(6);
    let mut proxy = Proxy::with_list(backend.address, &settings_with_deadline(longest_deadline));
    let mut client = proxy.client();
    client.send(&pay(6.0));
    backend.next_request();
    check_answer_before_kill(&mut proxy, client, longest_deadline);
    gate.open();
}

/// Guards against an answer that is cut off in the middle as its process ends at the earliest time at which it may be killed,
/// and against a process that goes on after its last answer.
#[test]
fn answer_that_is_passed_on_is_finished_unless_the_process_is_killed() {
    const PIECES: usize = 12;
    const PIECE_BYTES: usize = 20_000;
    const PIECE_PAUSE: Duration = Duration::from_millis(250);
    let longest_deadline = Duration::from_secs(1);
    let piece = format!("{PIECE_BYTES:x}\r\n{}\r\n", "y".repeat(PIECE_BYTES));
    let mut reply =
        vec![(Duration::ZERO, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n".to_string())];
    reply.extend(vec![(PIECE_PAUSE, piece); PIECES]);
    reply.push((Duration::ZERO, "0\r\n\r\n".to_string()));
    let backend = BackendServer::start(move |_| Reply::Timed(reply.clone()));
    let mut proxy = Proxy::with_list(backend.address, &settings_with_deadline(longest_deadline));
    let mut client = proxy.client();
    client.send(&pay(longest_deadline.as_secs_f64()));
    backend.next_request();
    let mut idle = proxy.client();
    assert_eq!(idle.ask("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    proxy.signal("TERM");
    let stopped_at = Instant::now();
    let answer = client.answer().expect("a whole answer");
    assert_eq!((answer.status(), answer.body.len()), (200, PIECES * PIECE_BYTES));
    assert!(
        stopped_at.elapsed() > longest_deadline + KILL_GRACE,
        "the process could have been killed before"
    );
    assert!(idle.ended(), "a connection without an answer does not stay");
    assert!(proxy.child.wait().unwrap().success());
    assert!(stopped_at.elapsed() < PIECE_PAUSE * PIECES as u32 + KILL_GRACE);
}
