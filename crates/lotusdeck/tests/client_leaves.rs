//! Clients that leave before an attempt of theirs begins, wherever it waits: nothing is sent for them any more. Each
//! leaves behind further bytes, so that a reader which stops behind the request does not see its end.

mod rig;

use rig::sockets::*;
use rig::*;
use std::sync::Arc;

/// More than is kept whole, so that the body flows to the backend.
const BODY: usize = 300_000;
/// So much of it comes before the client leaves: the attempt begins with it, and the rest never comes.
const PART: usize = 100_000;
/// What a client sends behind its request.
const FURTHER: &str = "GET /";

/// Connections are given all the time that a test takes.
fn patient() -> String {
    SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":9000000")
}

/// The head and the first part of a body that flows.
fn upload() -> String {
    let head = pay(3.0).replace("Content-Length: 4\r\n\r\ncash", "");
    format!("{head}Content-Length: {BODY}\r\n\r\n{}", "x".repeat(PART))
}

/// Another client's request is served by that backend, and is the first that it gets.
fn only_the_next_is_sent(proxy: &Proxy, backend: &BackendServer, what: &str) {
    let marker = read(3.0);
    assert_eq!(proxy.ask(&marker).status(), 200, "{what}");
    let id = backend.request().header("x-correlation-id").expect("an id").to_string();
    assert!(marker.contains(&id), "{what}: sent for nobody");
    assert_eq!(backend.count(), 1, "{what}");
}

/// The client of a body that flows leaves in its middle while the connection to the backend comes up.
#[test]
fn a_client_that_left_in_its_body_has_no_attempt_begun() {
    std::thread::scope(|scope| {
        for how in WAYS {
            scope.spawn(move || {
                let backend = Unreached::new();
                let proxy = Proxy::with(&[entry("b0", backend.address(), "SERVING")], 1024, &patient());
                let mut client = proxy.client();
                client.send(&upload());
                backend.called();
                let _held = leave(client, how);
                let marker = read(3.0);
                let mut later = proxy.client();
                later.send(&marker);
                let first = backend.first_request();
                let id = first.header("x-correlation-id").expect("an id");
                assert!(marker.contains(id), "{how:?}: sent for nobody: {}", first.first);
            });
        }
    });
}

/// The module holds the request, as there is no backend yet, and its client leaves; then discovery names one.
#[test]
fn a_client_that_left_while_its_request_was_held_has_no_attempt_begun() {
    for how in WAYS {
        for request in [read(3.0), pay(3.0), upload()] {
            let backend = BackendServer::start(|_| ok("x"));
            let proxy = Proxy::start(&[]);
            let (_, answer) = proxy.discovery.call();
            let mut client = proxy.client();
            client.send(&request);
            client.send(FURTHER);
            let _held = leave(client, how);
            answer.send((200, list(9, true, &[entry("b0", backend.address, "SERVING")]))).unwrap();
            let (_, _waits) = proxy.discovery.call(); // by now the list is taken in
            only_the_next_is_sent(&proxy, &backend, &format!("{how:?}"));
        }
    }
}

/// An attempt is out and its client leaves; then it ends in a way that allows another one.
#[test]
fn a_client_that_left_has_no_attempt_repeated() {
    let refused = "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    for how in WAYS {
        for (request, resets) in [(read(3.0), false), (pay(3.0), false), (read(3.0), true)] {
            let gate = Arc::new(Gate::default());
            let wait = gate.clone();
            let first = BackendServer::start(move |_| match resets {
                true => Reply::GateReset(wait.clone()),
                false => Reply::Paused(String::new(), wait.clone(), refused.into()),
            });
            let second = BackendServer::start(|_| ok("x"));
            let proxy = Proxy::start(&[entry("b0", first.address, "SERVING")]);
            proxy
                .discovery
                .call()
                .1
                .send((200, list(9, true, &[entry("b0", first.address, "SERVING")])))
                .unwrap();
            let (_, answer) = proxy.discovery.call();
            let mut client = proxy.client();
            client.send(&request);
            first.request();
            let both = [entry("b0", first.address, "DRAINING"), entry("b1", second.address, "SERVING")];
            answer.send((200, list(10, false, &both))).unwrap();
            let (_, _waits) = proxy.discovery.call(); // by now the list is taken in
            hold(&proxy);
            client.send(FURTHER);
            let _held = leave(client, how);
            gate.open();
            until("the first attempt's end is written", || {
                first.answered.load(std::sync::atomic::Ordering::SeqCst) == 1
            });
            proxy.signal("CONT");
            only_the_next_is_sent(&proxy, &second, &format!("{how:?}, reset: {resets}"));
        }
    }
}
