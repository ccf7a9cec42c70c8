//! Clients that disconnect before an attempt begins, in each state in which it can wait: nothing is sent to a
//! backend. A complete request is followed by further bytes, so that a reader that stops after the request does not
//! see the end of the connection.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::sockets::*;
use rig::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// More than the proxy buffers, so that the body is streamed to the backend.
const BODY_BYTES: usize = 300_000;
/// The part of the body that arrives before the client disconnects: the attempt begins with it, and the rest is never
/// sent.
const SENT_BYTES: usize = 100_000;
/// The bytes that a client sends after its request.
const FURTHER_BYTES: &str = "GET /";

/// Returns settings whose connect timeout is longer than a test.
fn long_connect_timeout() -> String {
    SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":9000000")
}

/// Returns the head and the first part of a body that is streamed.
fn partial_upload() -> String {
    let head = pay(3.0).replace("Content-Length: 4\r\n\r\ncash", "");
    format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n{}", "x".repeat(SENT_BYTES))
}

/// Waits until `count` requests are open.
fn wait_for_open_requests(proxy: &Proxy, count: u32) {
    let open_requests = format!("\"open_requests\":{count},");
    let status = || Client::connect(proxy.admin).ask("GET /admin/status HTTP/1.1\r\nHost: o\r\n\r\n").body;
    wait_until("the request is open", || {
        String::from_utf8(status()).unwrap().replace(' ', "").contains(&open_requests)
    });
}

/// Sends further bytes after an open request and waits until the program has read them: from then on a reader that
/// stops after the request does not see the end of the connection.
fn send_further_bytes(client: &mut Client) {
    client.send(FURTHER_BYTES);
    let tcp = client.0.get_ref();
    let port = format!(":{:04X}", tcp.local_addr().unwrap().port());
    let proxy = tcp.peer_addr().unwrap();
    let unread = |fields: &Vec<String>| fields[2].ends_with(&port) && !fields[4].ends_with(":00000000");
    wait_until("the further bytes are read", || !kernel_sockets(1, proxy).iter().any(unread));
}

/// Sends another client's request and asserts that it is the first that the backend gets.
fn assert_only_next_is_sent(proxy: &Proxy, backend: &BackendServer, what: &str) {
    let marker = read(3.0);
    assert_eq!(proxy.ask(&marker).status(), 200, "{what}");
    let first = backend.next_request();
    let id = first.header("x-correlation-id").expect("an X-Correlation-Id header");
    assert!(marker.contains(id), "{what}: sent for a client that left: {}", first.start_line);
    assert_eq!(backend.count(), 1, "{what}");
}

/// The client disconnects in the middle of a streamed body while the connection to the backend is being established.
#[test]
fn no_attempt_begins_for_a_client_that_left_in_its_body() {
    std::thread::scope(|scope| {
        for how in DISCONNECTS {
            scope.spawn(move || {
                let backend = FullListener::new();
                let proxy = Proxy::with_settings(
                    &[entry("b0", backend.address(), "SERVING")],
                    1024,
                    &long_connect_timeout(),
                );
                let mut client = proxy.client();
                client.send(&partial_upload());
                backend.wait_for_connect();
                let _held = disconnect(client, how);
                let marker = read(3.0);
                let mut later = proxy.client();
                later.send(&marker);
                let first = backend.first_request();
                let id = first.header("x-correlation-id").expect("an X-Correlation-Id header");
                assert!(marker.contains(id), "{how:?}: sent for a client that left: {}", first.start_line);
            });
        }
    });
}

/// The decision module holds the request, as there is no backend yet. Its client disconnects, and then discovery
/// lists a backend.
#[test]
fn no_attempt_begins_for_a_client_that_left_while_its_request_was_held() {
    for how in DISCONNECTS {
        for (request, is_complete) in [(read(3.0), true), (pay(3.0), true), (partial_upload(), false)] {
            let backend = BackendServer::start(|_| ok("x"));
            let proxy = Proxy::start(&[]);
            let (_, answer) = proxy.discovery.next_call();
            let mut client = proxy.client();
            client.send(&request);
            wait_for_open_requests(&proxy, 1);
            if is_complete {
                send_further_bytes(&mut client);
            }
            let _held = disconnect(client, how);
            answer.send((200, list(9, true, &[entry("b0", backend.address, "SERVING")]))).unwrap();
            let (_, _open_watch) = proxy.discovery.next_call(); // the list has been applied by now
            assert_only_next_is_sent(&proxy, &backend, &format!("{how:?}, {}", &request[..4]));
        }
    }
}

/// Requests that are answered first, to earn the retry budget, which is a fraction of the requests.
const WARM_UP: u32 = 12;

/// The client disconnects during an attempt that then ends in a way that allows another one: none is made. If the
/// client stays connected, another attempt is made.
#[test]
fn no_attempt_is_repeated_for_a_client_that_left() {
    std::thread::scope(|scope| {
        for how in [None, Some(Disconnect::Close), Some(Disconnect::ShutdownWrite), Some(Disconnect::Reset)] {
            for (request, resets) in [(read(3.0), false), (pay(3.0), false), (read(3.0), true)] {
                scope.spawn(move || check_repetition(how, &request, resets));
            }
        }
    });
}

fn check_repetition(how: Option<Disconnect>, request: &str, resets: bool) {
    let refused = "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let first = BackendServer::start(move |number| match resets {
        _ if number < WARM_UP => ok("x"),
        true => Reply::GateReset(wait.clone()),
        false => Reply::Paused(String::new(), wait.clone(), refused.into()),
    });
    let second = BackendServer::start(|_| ok("y"));
    let proxy = Proxy::start(&[entry("b0", first.address, "SERVING")]);
    proxy
        .discovery
        .next_call()
        .1
        .send((200, list(9, true, &[entry("b0", first.address, "SERVING")])))
        .unwrap();
    let (_, answer) = proxy.discovery.next_call();
    (0..WARM_UP).for_each(|_| assert_eq!(proxy.ask(&read(3.0)).status(), 200));
    let mut client = proxy.client();
    client.send(request);
    wait_until("the first attempt is in flight", || first.count() == WARM_UP + 1);
    let both = [entry("b0", first.address, "DRAINING"), entry("b1", second.address, "SERVING")];
    answer.send((200, list(10, false, &both))).unwrap();
    let (_, _open_watch) = proxy.discovery.next_call(); // the list has been applied by now
    let Some(how) = how else {
        gate.open();
        assert_eq!(client.answer().expect("an answer").body, b"y", "{request}, reset: {resets}");
        return;
    };
    send_further_bytes(&mut client);
    let _held = disconnect(client, how);
    gate.open();
    wait_until("the first attempt has ended", || first.answered.load(Ordering::SeqCst) == WARM_UP + 1);
    assert_only_next_is_sent(&proxy, &second, &format!("{how:?}, reset: {resets}"));
}
