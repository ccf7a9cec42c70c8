//! Pairs of events that can cross (docs/crossings.md), each in the harmful order: stand-ins delay, write and close on
//! command, and the program is stopped where both events must have arrived before it resumes.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::sockets::*;
use rig::*;
use std::io::{BufRead, Write};
use std::time::{Duration, Instant};

/// How long requests may still be sent to a backend after discovery has sent the change that it leaves
/// (`rules.stop_sending_within_us` is 500 ms at the operators' site).
const NOTIFIED_AFTER: Duration = Duration::from_secs(2);

/// Returns the wait that a call requests.
fn requested_wait(target: &str) -> Duration {
    let wait =
        target.split("wait_ms=").nth(1).and_then(|t| t.split(' ').next()).expect("a wait_ms parameter");
    Duration::from_millis(wait.parse().unwrap())
}

/// A silent watch is reopened, and the new answer applied, before a change that it missed counts as notified, 2 s
/// after the end of its wait. The watch sends no byte of its answer, only the head, or only a part of the body, with
/// pushed and with polled lists.
#[test]
fn a_silent_watch_is_reopened_before_a_missed_change_counts_as_notified() {
    let partial_answers = [
        "",
        "HTTP/1.1 200 X\r\nContent-Length: 300\r\n\r\n",
        "HTTP/1.1 200 X\r\nContent-Length: 300\r\n\r\n{\"index\":10,",
    ];
    std::thread::scope(|scope| {
        for partial_answer in partial_answers {
            for settings in [SETTINGS.to_string(), polling_settings()] {
                scope.spawn(move || {
                    let backend = BackendServer::start(|_| ok("x"));
                    let serving = [entry("b0", backend.address, "SERVING")];
                    let proxy = Proxy::with_settings(&serving, 1024, &settings);
                    proxy.discovery.next_call().1.send((200, list(9, true, &serving))).unwrap();
                    let (target, silent) = proxy.discovery.next_call();
                    let started = Instant::now();
                    silent.send((0, partial_answer.into())).unwrap();
                    let (again, answer) = proxy.discovery.next_call();
                    assert!(again.contains("after=9&wait_ms=0 "), "{again}");
                    answer.send((200, list(10, false, &[entry("b0", backend.address, "DRAINING")]))).unwrap();
                    let (next, _open_watch) = proxy.discovery.next_call(); // the list has been applied by now
                    assert!(next.contains("after=10&"), "{next}");
                    let took = started.elapsed();
                    assert!(
                        took < requested_wait(&target) + NOTIFIED_AFTER,
                        "{took:?} after {target}, silent after {partial_answer:?}"
                    );
                    assert_eq!((proxy.ask(&pay(3.0)).status(), backend.count()), (503, 0));
                });
            }
        }
    });
}

/// Waits until requests are refused because the backend drains; panics if that change was lost.
fn wait_until_draining(proxy: &Proxy) {
    let end = Instant::now() + TEST_TIMEOUT;
    while proxy.ask(&read(3.0)).status() != 503 {
        assert!(Instant::now() < end, "the change that the backend drains was lost");
    }
}

/// The address of discovery changes when half of an answer from the old address has arrived. That answer is still
/// applied once it is complete, whether the new address has sent nothing yet or an older version.
#[test]
fn changes_from_the_old_discovery_are_applied_after_discovery_moved() {
    for (settings, answered) in
        [(SETTINGS.to_string(), false), (polling_settings(), false), (polling_settings(), true)]
    {
        let backend = BackendServer::start(|_| ok("x"));
        let serving = [entry("b0", backend.address, "SERVING")];
        let proxy = Proxy::with_settings(&serving, 1024, &settings);
        proxy.discovery.next_call().1.send((200, list(9, true, &serving))).unwrap();
        let (_, old) = proxy.discovery.next_call();
        let text = list(10, false, &[entry("b0", backend.address, "DRAINING")]);
        let (first, rest) = text.split_at(text.len() / 2);
        old.send((0, format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{first}", text.len()))).unwrap();
        let elsewhere = DiscoveryServer::start();
        proxy.move_discovery(elsewhere.address);
        proxy.signal("HUP");
        let (_, new) = elsewhere.next_call(); // the proxy follows the new address now
        let mut open_watch = None;
        if answered {
            new.send((200, list(9, false, &[]))).unwrap();
            open_watch = Some(elsewhere.next_call());
        }
        assert_eq!(proxy.ask(&read(3.0)).status(), 200, "the change has not arrived yet");
        old.send((0, rest.into())).unwrap();
        wait_until_draining(&proxy);
        drop(open_watch);
    }
}

/// An invalid entry is logged. Its status is applied if it says that the backend leaves; otherwise the last valid
/// entry of that backend stays in force.
#[test]
fn an_invalid_entry_loses_no_departure_and_nothing_valid() {
    let backend = BackendServer::start(|_| ok("x"));
    let at = backend.address;
    let serving = entry("b0", at, "SERVING");
    let draining = entry("b0", at, "DRAINING");
    let leaving = [
        r#"{"name":"b0","status":"DRAINING"}"#.to_string(),
        r#"{"name":"b0","address":"nowhere","status":"DELETED"}"#.to_string(),
        draining.replace("\"group\":1", "\"group\":\"first\""),
        draining.replace("\"zone\":\"east\"", "\"zone\":7"),
        draining.replace("\"since_ms\":0", "\"since_ms\":\"long ago\""),
    ];
    let twice = [format!("{serving},{draining}"), format!("{draining},{serving}")];
    let cases = leaving.iter().flat_map(|line| [(line.clone(), false, 503), (line.clone(), true, 503)]);
    let not_leaving = [serving.replace(&at.to_string(), "nowhere"), entry("b0", at, "RESTING")];
    let not_leaving =
        not_leaving.into_iter().flat_map(|line| [(line.clone(), false, 200), (line, true, 200)]);
    for (line, is_full, status) in cases.chain(twice.map(|both| (both, true, 503))).chain(not_leaving) {
        let proxy = Proxy::start(std::slice::from_ref(&serving));
        proxy.discovery.next_call().1.send((200, list(9, true, std::slice::from_ref(&serving)))).unwrap();
        proxy.discovery.next_call().1.send((200, list(10, is_full, std::slice::from_ref(&line)))).unwrap();
        let (next, _open_watch) = proxy.discovery.next_call(); // the list has been applied by now
        assert!(next.contains("after=10&"), "{next}");
        assert_eq!(proxy.ask(&pay(3.0)).status(), status, "full list: {is_full}, {line}");
    }
}

/// Changes that do not continue the current list make the proxy poll the full list. While that call is open, backends
/// that leave according to these changes get no new requests, and the rest of the changes is ignored.
#[test]
fn changes_across_a_gap_are_applied_only_to_backends_that_leave() {
    let (backend, other) = (BackendServer::start(|_| ok("x")), BackendServer::start(|_| ok("y")));
    let serving = entry("b0", backend.address, "SERVING");
    let proxy = Proxy::start(std::slice::from_ref(&serving));
    proxy.discovery.next_call().1.send((200, list(9, true, &[serving]))).unwrap();
    let change = [entry("b0", backend.address, "DRAINING"), entry("b1", other.address, "SERVING")];
    proxy.discovery.next_call().1.send((200, list(3, false, &change))).unwrap();
    let (target, answer) = proxy.discovery.next_call(); // the changes have been processed by now
    assert_eq!(target, "GET /api/targets HTTP/1.1");
    assert_eq!((proxy.ask(&pay(3.0)).status(), backend.count(), other.count()), (503, 0, 0));
    answer.send((200, list(3, true, &[entry("b1", other.address, "SERVING")]))).unwrap();
    let (_, _open_watch) = proxy.discovery.next_call();
    assert_eq!(proxy.ask(&pay(3.0)).body, b"y");
}

/// A complete request is in the listener's queue or on a kept connection, and its client disconnects before the
/// program reads it: it is not forwarded, regardless of its class and of bytes that follow it.
#[test]
fn a_request_that_its_client_left_before_it_was_read_is_not_forwarded() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::start(&[entry("b0", backend.address, "SERVING")]);
    let mut clients = Vec::new();
    for how in DISCONNECTS {
        for (request, is_kept) in [(read(3.0), false), (read(3.0), true), (pay(3.0), false), (pay(3.0), true)]
        {
            for further_bytes in ["", "GET /"] {
                let client = if is_kept { kept_client(&proxy) } else { proxy.client() };
                clients.push((client, how, request.clone() + further_bytes));
            }
        }
    }
    stop_process(&proxy);
    let later = proxy.client(); // queued after all of them before the program resumes
    let gone = clients.into_iter().map(|(mut client, how, request)| {
        client.send(&request);
        disconnect(client, how)
    });
    let _held: Vec<Option<Client>> = gone.collect();
    proxy.signal("CONT");
    let mut later = later;
    for _ in 0..5 {
        assert_eq!(later.ask(&read(3.0)).status(), 200);
    }
    assert_eq!(backend.count(), 5, "a request whose client had left was forwarded");
}

/// A connection to discovery that is not established is abandoned for another before its call would count as silent.
#[test]
fn a_connection_to_discovery_that_is_not_established_is_abandoned() {
    for settings in [SETTINGS.to_string(), polling_settings()] {
        let proxy = Proxy::with_settings(&[], 1024, &settings);
        let _first = proxy.discovery.next_call();
        let unreached = FullListener::new();
        proxy.move_discovery(unreached.address());
        proxy.signal("HUP");
        let line = proxy.wait_for_log("discovery failed");
        assert!(line.contains("no connection"), "{line}");
        let call = unreached.first_request().start_line;
        assert!(call.starts_with("GET /api/targets"), "{call}");
    }
}

/// The client sends further bytes and disconnects while the connection to the backend is being established. A reader
/// that stops after the request does not see the end of the connection after these bytes, but the proxy checks for it
/// before it sends the first byte to the backend.
#[test]
fn nothing_is_sent_for_a_client_that_left_after_further_bytes() {
    std::thread::scope(|scope| {
        for how in DISCONNECTS {
            for request in [read(3.0), pay(3.0)] {
                scope.spawn(move || {
                    let backend = FullListener::new();
                    let settings =
                        SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":9000000");
                    let proxy =
                        Proxy::with_settings(&[entry("b0", backend.address(), "SERVING")], 1024, &settings);
                    let mut client = proxy.client();
                    client.send(&request);
                    backend.wait_for_connect();
                    client.send("GET /");
                    let _held = disconnect(client, how);
                    let marker = read(3.0);
                    let mut later = proxy.client();
                    later.send(&marker);
                    let first = backend.first_request();
                    let id = first.header("x-correlation-id").expect("an X-Correlation-Id header");
                    assert!(
                        marker.contains(id),
                        "{how:?}: sent for a client that left: {}",
                        first.start_line
                    );
                });
            }
        }
    });
}

/// While a connection is being established the backend begins to drain, leaves the list, or is listed at another
/// address, so that another process may listen at the old one: no byte is sent on the connection, and further
/// requests go where the list says.
#[test]
fn a_list_change_while_a_connection_is_established_stops_the_send() {
    std::thread::scope(|scope| {
        for change in ["DRAINING", "DELETED", "elsewhere"] {
            scope.spawn(move || {
                let (old, other) = (FullListener::new(), BackendServer::start(|_| ok("other")));
                let settings = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":9000000");
                let serving = [entry("b0", old.address(), "SERVING")];
                let proxy = Proxy::with_settings(&serving, 1024, &settings);
                proxy.discovery.next_call().1.send((200, list(9, true, &serving))).unwrap();
                let (_, answer) = proxy.discovery.next_call();
                let mut client = proxy.client();
                client.send(&pay(3.0));
                old.wait_for_connect();
                let entries = match change {
                    "elsewhere" => vec![entry("b0", other.address, "SERVING")],
                    state => {
                        vec![entry("b0", old.address(), state), entry("b1", other.address, "SERVING")]
                    }
                };
                answer.send((200, list(10, false, &entries))).unwrap();
                let (_, _open_watch) = proxy.discovery.next_call(); // the list has been applied by now
                let mut peer = old.accept_other();
                let status = client.answer().expect("an answer").status();
                assert!(matches!(status, 200 | 503), "{change}: the request never ran, and got {status}");
                assert_eq!(proxy.ask(&pay(3.0)).body, b"other", "{change}");
                drop(proxy);
                let sent = peer.fill_buf().unwrap_or_default();
                assert!(sent.is_empty(), "{change}: {}", String::from_utf8_lossy(sent));
            });
        }
    });
}

/// SIGTERM arrives after half a head, before discovery has ever answered, and a second SIGTERM while answers are
/// outstanding: every accepted request is answered, and the program exits with success.
#[test]
fn a_second_sigterm_loses_no_accepted_request() {
    for settings in [SETTINGS.to_string(), polling_settings()] {
        let gate = std::sync::Arc::new(Gate::default());
        let wait = gate.clone();
        let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
        let mut proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 1024, &settings);
        let _unanswered = proxy.discovery.next_call();
        let (mut complete, mut partial) = (proxy.client(), proxy.client());
        complete.send(&pay(3.0));
        backend.next_request();
        let request = read(3.0);
        let (first, rest) = request.split_at(30);
        partial.send(first);
        proxy.signal("TERM");
        proxy.wait_for_log("stopping");
        partial.send(rest);
        backend.next_request();
        proxy.signal("TERM");
        gate.open();
        for client in [&mut complete, &mut partial] {
            assert_eq!(client.answer().expect("an answer to an accepted request").body, b"gated");
        }
        assert!(proxy.child.wait().unwrap().success());
    }
}

/// Guards against a second answer, some milliseconds after the first, that is taken for the answer to the next
/// request: no connection is reused within that time.
#[test]
fn no_connection_is_reused_while_a_second_answer_may_still_arrive() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut tcp in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut reader = std::io::BufReader::new(tcp.try_clone().unwrap());
                let mut answered: Option<Instant> = None;
                while Message::read(&mut reader).is_some() {
                    let late = answered.is_some_and(|at| at.elapsed() < Duration::from_millis(8));
                    let body = if late { "stale" } else { "fresh" };
                    let text = format!("HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n{body}");
                    answered = Some(Instant::now());
                    if tcp.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let proxy = Proxy::start(&[entry("b0", at, "SERVING")]);
    let mut client = proxy.client();
    for n in 0..60 {
        assert_eq!(client.ask(&pay(3.0)).body, b"fresh", "request {n}");
        std::thread::sleep(Duration::from_millis(3)); // the pause of a client between two requests
    }
}
