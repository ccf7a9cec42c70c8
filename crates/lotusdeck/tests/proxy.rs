//! The program on loopback sockets: what it guarantees regardless of what backends, clients and discovery do.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

fn proxy_for(backend: &BackendServer) -> Proxy {
    Proxy::start(&[entry("b0", backend.address, "SERVING")])
}

fn proxy_for_two(a: &BackendServer, b: &BackendServer) -> Proxy {
    Proxy::start(&[entry("b0", a.address, "SERVING"), entry("b1", b.address, "SERVING")])
}

#[test]
fn a_request_and_its_answer_are_forwarded_unchanged() {
    let backend = BackendServer::start(|_| Reply::Answer(200, "Content-Type: text/x", "the body".into()));
    let proxy = proxy_for(&backend);
    let answer = proxy.ask(
        "POST /vote/k%201?q=%2F HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 00aa\r\nIdempotency-Key: 77\r\n\
         X-Time-Left: 2.5\r\nConnection: x-private\r\nX-Private: 1\r\nContent-Length: 3\r\n\r\nabc",
    );
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"the body"[..]));
    assert_eq!(answer.header("content-type"), Some("text/x"));
    let got = backend.next_request();
    assert_eq!(got.start_line, "POST /vote/k%201?q=%2F HTTP/1.1");
    assert_eq!((got.header("x-correlation-id"), got.header("idempotency-key")), (Some("00aa"), Some("77")));
    assert_eq!((&got.body[..], got.header("x-private")), (&b"abc"[..], None));
    let left: f64 = got.header("x-time-left").unwrap().parse().unwrap();
    assert!(left > 0.0 && left < 2.5, "{left}");
    assert_eq!(backend.count(), 1);
}

/// Sends 25 requests, which earn the retry budget for several further attempts.
fn warm_up(proxy: &Proxy) {
    let mut client = proxy.client();
    for _ in 0..25 {
        assert_eq!(client.ask(&read(3.0)).status(), 200);
    }
}

/// Starts a backend that answers 200 until the switch is set, and replies with `to` from then on.
fn switchable_backend(to: impl Fn() -> Reply + Send + Sync + 'static) -> (BackendServer, Arc<AtomicBool>) {
    let switch = Arc::new(AtomicBool::new(false));
    let switched = switch.clone();
    let reply = move |_| if switched.load(SeqCst) { to() } else { ok("x") };
    (BackendServer::start(reply), switch)
}

/// An unsafe request is not sent again after an outcome that leaves open whether it ran, and its status does not say
/// that it may be repeated.
#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_never_repeated() {
    type MakeReply = fn() -> Reply;
    let cases: [(&str, MakeReply, f64); 7] = [
        ("500", || Reply::Answer(500, "", "oops".into()), 3.0),
        ("reset", || Reply::Reset, 3.0),
        ("silence", || Reply::Silence, 0.3),
        ("unlisted", || Reply::Answer(404, "", String::new()), 3.0),
        ("503 without X-Unprocessed", || Reply::Answer(503, "", String::new()), 3.0),
        ("X-Unprocessed with another status", || Reply::Answer(500, "X-Unprocessed: 1", String::new()), 3.0),
        (
            "too long",
            || Reply::Pieces(vec!["HTTP/1.1 200 X\r\nContent-Length: 33554433\r\n\r\nx".into()]),
            3.0,
        ),
    ];
    for (what, reply, left) in cases {
        let ((a, first), (b, second)) = (switchable_backend(reply), switchable_backend(reply));
        let proxy = proxy_for_two(&a, &b);
        warm_up(&proxy);
        let before = a.count() + b.count();
        first.store(true, SeqCst);
        second.store(true, SeqCst);
        let status = proxy.ask(&pay(left)).status();
        assert!(status == 502 || status == 504, "{what}: {status}");
        assert_eq!(a.count() + b.count(), before + 1, "{what}");
    }
}

/// Even an unsafe request is sent to another backend after an answer that proves that it never ran.
#[test]
fn an_unsafe_request_that_never_ran_is_sent_elsewhere() {
    for status in [503, 504] {
        let rejecting = move || Reply::Answer(status, "X-Unprocessed: 1", String::new());
        let ((rejecting, switch), good) =
            (switchable_backend(rejecting), BackendServer::start(|_| ok("paid")));
        let proxy = proxy_for_two(&rejecting, &good);
        warm_up(&proxy);
        switch.store(true, SeqCst);
        let (rejected_before, good_before) = (rejecting.count(), good.count());
        let mut sent = 0;
        while rejecting.count() == rejected_before {
            assert!(sent < 100, "the backend was never chosen");
            assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
            sent += 1;
        }
        assert_eq!(good.count() - good_before, sent, "every request was served once");
    }
}

/// A refused connection also proves that the request never ran. The test cannot observe refusals, so it sends 30
/// requests for the random choice to meet one.
#[test]
fn an_unsafe_request_is_sent_elsewhere_when_the_connection_is_refused() {
    let (refusing, good) = (RefusingPort::new(), BackendServer::start(|_| ok("paid")));
    let proxy = proxy_for(&good);
    warm_up(&proxy);
    let (_, answer) = proxy.discovery.next_call();
    let both = [entry("b0", good.address, "SERVING"), entry("b1", refusing.address(), "SERVING")];
    answer.send((200, list(9, true, &both))).unwrap();
    let _open_watch = proxy.discovery.next_call(); // the list has been applied by now
    let before = good.count();
    for _ in 0..30 {
        assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
    }
    assert_eq!(good.count() - before, 30);
}

/// A request that is given up is answered immediately, not at its deadline, and with `Retry-After`.
#[test]
fn a_refusal_comes_at_once_with_retry_after() {
    let rejecting = BackendServer::start(|_| Reply::Answer(503, "X-Unprocessed: 1", String::new()));
    let proxy = proxy_for(&rejecting);
    for request in [pay(3.0), read(3.0)] {
        let answer = proxy.ask(&request);
        assert_eq!(answer.status(), 503);
        let retry_after_s: f64 =
            answer.header("retry-after").expect("a Retry-After header").parse().expect("a number");
        assert!(retry_after_s > 0.0 && retry_after_s <= 2.0, "{retry_after_s}");
    }
}

/// `Retry-After` is sent only where the settings in force allow it.
#[test]
fn a_refusal_has_no_retry_after_where_the_settings_forbid_it() {
    let rejecting = BackendServer::start(|_| Reply::Answer(503, "X-Unprocessed: 1", String::new()));
    let without_retry_after =
        SETTINGS.replace("\"max_retry_after_us\"", "\"retry_after\":false,\"max_retry_after_us\"");
    let proxy =
        Proxy::with_settings(&[entry("b0", rejecting.address, "SERVING")], 1024, &without_retry_after);
    let has_retry_after = || {
        let answer = proxy.ask(&pay(3.0));
        assert_eq!(answer.status(), 503);
        answer.header("retry-after").is_some()
    };
    assert!(!has_retry_after());
    proxy.reconfigure(&proxy.config.1.replace("\"retry_after\":false", "\"retry_after\":true"));
    proxy.wait_for_log("configuration applied");
    assert!(has_retry_after());
}

#[test]
fn a_request_to_a_silent_backend_is_answered_before_the_client_gives_up() {
    let backend = BackendServer::start(|_| Reply::Silence);
    let proxy = proxy_for(&backend);
    let started = std::time::Instant::now();
    let status = proxy.ask(&pay(0.6)).status();
    assert!(status == 502 || status == 504, "{status}");
    assert!(started.elapsed() < Duration::from_secs(3), "the client's time counts, not the class's");
    backend.wait_for_close(); // the attempt was cancelled with the request
    assert_eq!(proxy.ask(&read(0.3)).status(), 503, "503 as a safe request may be repeated");
}

#[test]
fn an_attempt_is_cancelled_when_its_client_leaves() {
    let backend = BackendServer::start(|_| Reply::Silence);
    let proxy = proxy_for(&backend);
    let mut client = proxy.client();
    client.send(&read(3.0));
    backend.next_request();
    drop(client);
    backend.wait_for_close();
    assert_eq!(backend.count(), 1);
}

#[test]
fn consecutive_requests_share_a_connection() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = proxy_for(&backend);
    let mut client = proxy.client();
    for _ in 0..10 {
        assert_eq!(client.ask(&read(3.0)).status(), 200);
        std::thread::sleep(Duration::from_millis(15)); // longer than a connection waits before its reuse
    }
    assert_eq!(backend.connections.load(SeqCst), 1);
}

/// Guards against a request that is written to a kept connection which the backend has closed, and then counts as
/// reset.
#[test]
fn a_connection_that_the_backend_closed_is_not_used_again() {
    let backend = BackendServer::start(|_| Reply::AnswerAndClose(200, "x".into()));
    let proxy = proxy_for(&backend);
    for round in 1..=5 {
        assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
        assert_eq!(backend.count(), round);
        backend.wait_for_close();
    }
}

#[test]
fn a_connection_is_retired_before_the_backends_idle_limit() {
    let backend = BackendServer::start(|_| ok("x"));
    let settings = SETTINGS.replace("\"conn_idle_us\":60000000", "\"conn_idle_us\":1000000");
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 1024, &settings);
    assert_eq!(proxy.ask(&read(3.0)).status(), 200);
    backend.wait_for_close();
    assert_eq!(proxy.ask(&read(3.0)).status(), 200);
    assert_eq!(backend.connections.load(SeqCst), 2);
}

#[test]
fn the_watch_follows_changes_failures_and_gaps() {
    let (old, new) = (BackendServer::start(|_| ok("old")), BackendServer::start(|_| ok("new")));
    let proxy = proxy_for(&old);
    assert_eq!(proxy.ask(&read(3.0)).body, b"old");
    let (target, answer) = proxy.discovery.next_call();
    assert_eq!(target, "GET /api/targets HTTP/1.1");
    let bad = r#"{"name":7},{"name":"x","address":"nowhere","status":"SERVING"}"#.to_string();
    let unknown_status = entry("b9", old.address, "RESTING");
    answer.send((200, list(9, true, &[bad, unknown_status, entry("b0", old.address, "SERVING")]))).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.starts_with("GET /api/targets?after=9&wait_ms="), "{target}");
    let change = [entry("b0", old.address, "DRAINING"), entry("b1", new.address, "SERVING")];
    answer.send((200, list(10, false, &change))).unwrap();
    let (target, answer) = proxy.discovery.next_call(); // the change has been applied by now
    assert!(target.contains("after=10&"), "{target}");
    for _ in 0..8 {
        assert_eq!(proxy.ask(&pay(3.0)).body, b"new", "a draining backend gets no new requests");
    }
    answer.send((503, String::new())).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.contains("after=10&"), "the call is repeated after a failure: {target}");
    answer.send((200, "no list".into())).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.contains("after=10&"), "the call is repeated after an invalid answer: {target}");
    drop(answer); // the connection breaks
    let (_, answer) = proxy.discovery.next_call();
    answer.send((200, list(3, false, &[]))).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert_eq!(target, "GET /api/targets HTTP/1.1", "the full list is requested after a gap");
    answer.send((200, list(3, true, &[entry("b0", old.address, "SERVING")]))).unwrap();
    let (target, _open_watch) = proxy.discovery.next_call();
    assert!(target.contains("after=3&"), "{target}");
    assert_eq!(proxy.ask(&pay(3.0)).body, b"old", "a backend that the full list leaves out is removed");
    assert_eq!(old.count(), 2);
}

#[test]
fn invalid_requests_get_their_own_status_and_reach_no_backend() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = proxy_for(&backend);
    let long = 32 * 1024 * 1024 + 1;
    let body = "y".repeat(1000);
    let cases = [
        (404, "GET /none/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string()),
        (404, "GET / HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string()),
        (404, "GET /-/load HTTP/1.1\r\nHost: s\r\n\r\n".to_string()),
        (400, "GET /read/../pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string()),
        (400, "GET /read/k\r\nwhat\r\n\r\n".to_string()),
        (400, "GET /read/k HTTP/1.1\r\nHost: s\r\n\r\n".to_string()),
        (400, "GET /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string()),
        (400, "POST /vote/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\nContent-Length: 0\r\n\r\n".to_string()),
        (
            413,
            format!(
                "POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\nContent-Length: {long}\r\n\r\n{body}"
            ),
        ),
        (200, "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n".to_string()),
    ];
    for (status, request) in cases {
        let mut client = proxy.client();
        // The proxy may answer and close before it has read the whole request.
        let _ = client.0.get_mut().write_all(request.as_bytes());
        let answer = client.answer().unwrap_or_else(|| panic!("no answer to {request:.80}"));
        assert_eq!(answer.status(), status, "{request:.80}");
    }
    assert_eq!(backend.count(), 0);
    for left in ["", "X-Time-Left: 1e300\r\n"] {
        let request = format!("GET /read/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n{left}\r\n");
        assert_eq!(proxy.ask(&request).status(), 200, "{left}");
        let time_left: f64 = backend.next_request().header("x-time-left").unwrap().parse().unwrap();
        assert!(time_left > 1.0 && time_left <= 3.0, "the class's deadline: {time_left}");
    }
}

#[test]
fn a_missing_or_malformed_configuration_ends_the_program_with_a_plain_message() {
    let empty_settings =
        r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"zz","settings":{}}"#;
    for (config, expected) in [
        (None, "--config <CONFIG>"),
        (Some("{"), "line 1"),
        (Some("{}"), "name"),
        (Some(empty_settings), "settings"),
    ] {
        let out = serve_command(config).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{config:?}");
        assert!(text.contains(expected) && !text.contains("panicked"), "{config:?}: {text}");
    }
}

/// With more clients than descriptors allow, idle connections are closed, and no client is refused.
#[test]
fn idle_connections_are_closed_when_clients_exceed_the_limit() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 80, SETTINGS);
    let mut idle: Vec<Client> = (0..8)
        .map(|_| {
            let mut client = proxy.client();
            assert_eq!(client.ask(&read(3.0)).status(), 200);
            client
        })
        .collect();
    for _ in 0..100 {
        let mut client = proxy.client();
        assert_eq!(client.ask(&read(3.0)).status(), 200);
        idle.push(client);
    }
    assert!(idle[0].ended(), "the connection that was idle longest was closed first");
}

/// When a backend's machine is cut off, its connections stay open: none that was idle meanwhile is used again.
#[test]
fn idle_connections_to_a_silent_backend_are_dropped() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| match n {
        0 | 1 => Reply::Gate(wait.clone()),
        2 => Reply::Silence,
        _ => ok("x"),
    });
    let proxy = proxy_for(&backend);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    for client in [&mut first, &mut second] {
        client.send(&read(3.0));
        backend.next_request();
    }
    gate.open();
    for client in [&mut first, &mut second] {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    assert_eq!(backend.connections.load(SeqCst), 2, "both connections are idle now");
    std::thread::sleep(Duration::from_millis(15)); // longer than a connection waits before its reuse
    assert_eq!(proxy.ask(&read(0.3)).status(), 503);
    assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
    assert_eq!(backend.connections.load(SeqCst), 3, "a new connection, although an idle one was left");
}

/// Descriptors may run out before the configured limit is reached: idle connections are closed then too.
#[test]
fn clients_are_served_when_descriptors_run_out() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_descriptor_limit(&[entry("b0", backend.address, "SERVING")], 1024, SETTINGS, 40);
    let mut idle = Vec::new();
    for _ in 0..60 {
        let mut client = proxy.client();
        assert_eq!(client.ask(&read(3.0)).status(), 200);
        idle.push(client);
    }
    assert!(idle[0].ended());
}

/// When every connection has sent half of a head, none is idle, but they are closed after a timeout.
#[test]
fn incomplete_heads_do_not_keep_other_clients_out() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 80, SETTINGS);
    let mut slow: Vec<Client> = (0..40)
        .map(|_| {
            let mut client = proxy.client();
            client.send("GET /read/k HTTP/1.1\r\nHost: s\r\nX-Corr");
            client
        })
        .collect();
    assert_eq!(proxy.ask(&read(3.0)).status(), 200);
    assert!(slow[0].ended());
}

/// After SIGTERM open requests are answered, and so are those that arrive while clients do not know of the shutdown
/// yet.
#[test]
fn a_graceful_shutdown_answers_everything_and_ends() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| if n == 0 { Reply::Gate(wait.clone()) } else { ok("late") });
    let mut proxy = proxy_for(&backend);
    let (mut busy, mut kept, mut idle) = (proxy.client(), proxy.client(), proxy.client());
    for client in [&mut kept, &mut idle] {
        assert_eq!(client.ask("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    }
    busy.send(&pay(3.0));
    backend.next_request();
    proxy.signal("TERM");
    proxy.wait_for_log("stopping");
    for client in [&mut kept, &mut proxy.client()] {
        assert_eq!(client.ask(&pay(2.0)).status(), 200, "new and kept connections are served for a while");
    }
    assert_eq!(proxy.operator_call("GET", "/admin/health", ""), 503, "the health call reports the shutdown");
    assert!(idle.ended(), "an idle connection is closed");
    gate.open();
    assert_eq!(busy.answer().expect("the answer to the open request").body, b"gated");
    assert!(busy.ended());
    assert!(proxy.child.wait().unwrap().success());
}

#[test]
fn keyed_requests_are_repeated_under_the_same_key() {
    let ((bad, switch), good) =
        (switchable_backend(|| Reply::Reset), BackendServer::start(|_| ok("counted")));
    let proxy = proxy_for_two(&bad, &good);
    warm_up(&proxy);
    while bad.events.try_recv().is_ok() || good.events.try_recv().is_ok() {}
    switch.store(true, SeqCst);
    let before = bad.count();
    for sent in 0.. {
        assert!(sent < 100, "the backend was never chosen");
        assert_eq!(proxy.ask(&vote(3.0)).status(), 200);
        let served = good.next_request();
        if bad.count() > before {
            let reset = bad.next_request();
            assert_eq!(reset.header("idempotency-key"), served.header("idempotency-key"));
            assert_eq!(reset.header("x-correlation-id"), served.header("x-correlation-id"));
            return;
        }
    }
}
