//! The program as operators run it: their calls, cordons, new settings, and an upgrade under load.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::sync::{mpsc, Arc};

fn both_serving(a: &BackendServer, b: &BackendServer) -> [String; 2] {
    [entry("b0", a.address, "SERVING"), entry("b1", b.address, "SERVING")]
}

fn two_backends() -> (BackendServer, BackendServer) {
    (BackendServer::start(|_| ok("a")), BackendServer::start(|_| ok("b")))
}

/// Sends `count` requests one after the other and asserts that each is served.
fn assert_served(proxy: &Proxy, count: usize) {
    let mut client = proxy.client();
    (0..count).for_each(|_| assert_eq!(client.ask(&pay(3.0)).status(), 200));
}

#[test]
fn operators_calls_get_the_status_of_their_outcome() {
    let (a, b) = two_backends();
    let proxy = Proxy::start(&both_serving(&a, &b));
    assert_eq!(proxy.operator_call("GET", "/admin/health", ""), 200);
    assert_eq!(proxy.operator_call("PUT", "/admin/health", ""), 405);
    assert_eq!(proxy.operator_call("GET", "/admin/cordon", ""), 405);
    assert_eq!(proxy.operator_call("GET", "/admin", ""), 404);
    for path in ["/admin/cordon", "/admin/uncordon"] {
        assert_eq!(proxy.operator_call("PUT", path, ""), 400);
        assert_eq!(proxy.operator_call("PUT", path, "nobody"), 404);
        assert_eq!(proxy.operator_call("PUT", path, &"b".repeat(5000)), 413);
        assert_eq!(proxy.operator_call("PUT", path, " b0\n"), 200);
    }
    assert_eq!(proxy.ask("GET /admin/health HTTP/1.1\r\nHost: s\r\n\r\n").status(), 404, "not for clients");
}

/// Callers that never complete a call do not keep others out, regardless of their number, and each is disconnected
/// eventually.
#[test]
fn silent_callers_do_not_keep_others_out() {
    let (a, b) = two_backends();
    let proxy = Proxy::start(&both_serving(&a, &b));
    let mut silent: Vec<Client> = (0..40).map(|_| Client::connect(proxy.admin)).collect();
    silent[3].send("PUT /admin/cordon HTTP/1.1\r\nContent-Length: 2\r\n\r\nb");
    assert_eq!(proxy.operator_call("GET", "/admin/health", ""), 200);
    assert_eq!(proxy.operator_call("PUT", "/admin/cordon", "b1"), 200);
    silent.iter_mut().for_each(|caller| assert!(caller.ended()));
    let before = a.count();
    assert_served(&proxy, 20);
    assert_eq!((a.count() - before, b.count()), (20, 0), "an incomplete call has no effect");
}

/// A cordoned backend gets no new requests, whatever the list says, and is in use again after one uncordon although
/// it was cordoned twice.
#[test]
fn a_cordoned_backend_gets_nothing_until_it_is_uncordoned() {
    let (a, b) = two_backends();
    let proxy = Proxy::start(&both_serving(&a, &b));
    assert_served(&proxy, 40);
    assert!(a.count() > 0 && b.count() > 0, "both are in use");
    assert_eq!(proxy.operator_call("PUT", "/admin/cordon", "b0"), 200);
    a.wait_for_close(); // its idle connections are closed
    assert_eq!(proxy.operator_call("PUT", "/admin/cordon", "b0"), 200);
    let before = a.count();
    assert_served(&proxy, 40);
    let (_, answer) = proxy.discovery.next_call();
    answer.send((200, list(9, true, &both_serving(&a, &b)))).unwrap();
    let (_, answer) = proxy.discovery.next_call(); // the list has been applied by now
    assert_served(&proxy, 40);
    // It leaves the list and returns, as when it is restarted.
    answer.send((200, list(10, false, &[entry("b0", a.address, "DELETED")]))).unwrap();
    let (_, answer) = proxy.discovery.next_call();
    answer.send((200, list(11, false, &[entry("b0", a.address, "SERVING")]))).unwrap();
    let (_, _open_watch) = proxy.discovery.next_call();
    assert_served(&proxy, 40);
    assert_eq!(a.count(), before, "a cordoned backend gets no new requests");
    assert_eq!(proxy.operator_call("PUT", "/admin/uncordon", "b0"), 200);
    let mut sent = 0;
    while a.count() == before {
        assert!(sent < 2000, "it was never used again");
        assert_served(&proxy, 1);
        sent += 1;
    }
}

/// A cordon applies to processes that start later, after the process that set it has ended, and despite damage to its
/// file.
#[test]
fn a_cordon_outlasts_its_process_and_holds_for_the_next() {
    let (a, b) = two_backends();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let old = Proxy::with_inherited_listener(&both_serving(&a, &b), &listener);
    assert_eq!(old.operator_call("PUT", "/admin/cordon", "b0"), 200);
    let mut new = old.successor(&both_serving(&a, &b), &listener);
    assert_eq!(new.operator_call("GET", "/admin/health", ""), 200);
    assert_served(&new, 40);
    assert_eq!(a.count(), 0, "the cordon holds in both processes");
    drop(old);
    assert_served(&new, 40);
    assert_eq!(a.count(), 0, "the cordon outlasts the process that took the call");
    new.child.kill().unwrap();
    new.child.wait().unwrap();
    let file = std::fs::read_dir(&new.tmp).unwrap().flatten().find(|f| {
        let name = f.file_name();
        name.to_string_lossy().ends_with(".cordon")
    });
    let mut file = std::fs::File::options().append(true).open(file.unwrap().path()).unwrap();
    file.write_all(b"\xff\0\n").unwrap();
    let last = new.successor(&both_serving(&a, &b), &listener);
    assert_served(&last, 40);
    assert_eq!(a.count(), 0, "damage to the file lifts no cordon");
}

/// While two processes serve, a cordon set by a call to one also applies to the other.
#[test]
fn a_cordon_by_one_process_applies_to_the_other() {
    let (a, b) = two_backends();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let old = Proxy::with_inherited_listener(&both_serving(&a, &b), &listener);
    let mut kept = old.client(); // the only process that listens so far
    (0..40).for_each(|_| assert_eq!(kept.ask(&pay(3.0)).status(), 200));
    let new = old.successor(&both_serving(&a, &b), &listener);
    assert_eq!(new.operator_call("PUT", "/admin/cordon", "b0"), 200);
    a.wait_for_close(); // only the old process had a connection to it
    let before = a.count();
    (0..60).for_each(|_| assert_eq!(kept.ask(&pay(3.0)).status(), 200));
    assert_eq!(a.count(), before);
}

/// An inherited listening socket is served as it is; a descriptor that is no listening TCP socket is refused.
#[test]
fn an_inherited_listener_is_served() {
    let (a, b) = two_backends();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = Proxy::with_inherited_listener(&both_serving(&a, &b), &listener);
    assert_eq!(proxy.address, listener.local_addr().unwrap());
    assert_eq!(proxy.ask(&read(3.0)).status(), 200);
    for (fd, error) in [("3", "no listening TCP socket"), ("77", "not open"), ("x", "expected the number")] {
        let out = serve_command(Some(&proxy.config.1)).env("NODE_SOCKET_FD", fd).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && text.contains(error), "{fd}: {text}");
    }
}

fn get(path: &str, id: &str) -> String {
    format!("GET /{path}/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: 3.0\r\n\r\n")
}

/// Replaces class `read` by `draw`, makes `pay` repeatable, and limits requests to one attempt.
fn other_settings(config: &str) -> String {
    let other = config.replace(r#""name":"read""#, r#""name":"draw""#).replace("single_shot", "free");
    other.replace(r#""max_attempts":4"#, r#""max_attempts":1"#)
}

/// New settings apply to new requests; an open one is completed under those that it arrived with.
#[test]
fn new_settings_apply_to_new_requests_only() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let paid = BackendServer::start(move |n| if n < 2 { Reply::GateReset(held.clone()) } else { ok("x") });
    let proxy = Proxy::start(&[entry("b0", paid.address, "SERVING")]);
    let (mut open, mut dropped) = (proxy.client(), proxy.client());
    open.send(&pay(3.0));
    paid.next_request();
    dropped.send(&get("read", "d1"));
    paid.next_request();
    proxy.reconfigure(&other_settings(&proxy.config.1));
    let line = proxy.wait_for_log("configuration applied");
    for expected in ["with class draw", "without class read", "attempts 1 instead of 4"] {
        assert!(line.contains(expected), "{line}");
    }
    assert_eq!(proxy.ask(&get("draw", "n1")).status(), 200);
    assert_eq!(proxy.ask(&get("pay", "n2")).status(), 200, "the class is repeatable now");
    assert_eq!(proxy.ask(&get("read", "n3")).status(), 404);
    assert_eq!(proxy.ask(&pay(3.0)).status(), 400, "the class is no longer an unsafe one");
    let before = paid.count();
    gate.open();
    assert_eq!(open.answer().unwrap().status(), 502, "it arrived as unsafe: it is not sent again");
    assert_ne!(dropped.answer().unwrap().status(), 404, "its class existed when it arrived");
    assert!(paid.count() <= before + 1, "the unsafe one is not repeated");
    proxy.reconfigure(&proxy.config.1);
    assert!(proxy.wait_for_log("configuration applied").contains("with class read"));
    assert_eq!(proxy.ask(&get("read", "n4")).status(), 200, "a class may be added again");
    assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
}

/// The index of a removed class is not reassigned while a request of that class is open.
#[test]
fn a_request_keeps_its_class_across_changes_that_reuse_class_indexes() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let paid = BackendServer::start(move |n| if n == 0 { Reply::GateReset(held.clone()) } else { ok("x") });
    let proxy = Proxy::start(&[entry("b0", paid.address, "SERVING")]);
    let mut open = proxy.client();
    open.send(&pay(3.0));
    paid.next_request();
    let without = proxy.config.1.replace(r#""name":"pay""#, r#""name":"cash""#);
    proxy.reconfigure(&without);
    assert!(proxy.wait_for_log("configuration applied").contains("without class pay"));
    let free = without.replace(r#""name":"cash""#, r#""name":"draw""#).replace("single_shot", "free");
    let free = free.replace(r#""name":"vote""#, r#""name":"poll""#);
    for (file, expected) in
        [(&free, "with class draw"), (&without, "with class cash"), (&free, "with class poll")]
    {
        proxy.reconfigure(file);
        assert!(proxy.wait_for_log("configuration applied").contains(expected));
    }
    assert_eq!(proxy.ask(&get("draw", "n2")).status(), 200);
    let before = paid.count();
    gate.open();
    assert_eq!(open.answer().unwrap().status(), 502, "it must never run twice");
    assert_eq!(paid.count(), before, "it is not sent again");
}

/// Requests are served while a configuration file is read. A reload that is requested meanwhile is done afterwards,
/// with the contents that the file has then.
#[test]
fn the_program_serves_while_it_reads_a_file_and_applies_the_last_one() {
    let (a, b) = two_backends();
    let proxy = Proxy::start(&both_serving(&a, &b));
    let path = proxy.config.0.clone();
    let slow = path.with_extension("slow");
    assert!(Command::new("mkfifo").arg(&slow).status().unwrap().success());
    std::fs::rename(&slow, &path).unwrap();
    proxy.signal("HUP");
    let (opened, writer) = mpsc::channel();
    let pipe = path.clone();
    std::thread::spawn(move || opened.send(File::options().write(true).open(pipe).unwrap()));
    let mut writer = writer.recv_timeout(TEST_TIMEOUT).expect("the file is read");
    assert_eq!(proxy.ask(&read(3.0)).status(), 200, "while it is read");
    let last = proxy.config.1.replace(r#""name":"read""#, r#""name":"view""#);
    std::fs::write(&slow, last).unwrap();
    std::fs::rename(&slow, &path).unwrap();
    proxy.signal("HUP");
    assert_eq!(proxy.ask(&read(3.0)).status(), 200, "the file before it is not read yet");
    writer.write_all(other_settings(&proxy.config.1).as_bytes()).unwrap();
    drop(writer);
    assert!(proxy.wait_for_log("configuration applied").contains("with class draw"));
    let line = proxy.wait_for_log("configuration applied");
    assert!(line.contains("with class view") && line.contains("without class draw"), "{line}");
    assert_eq!(proxy.ask(&get("view", "1")).status(), 200);
    assert_eq!(proxy.ask(&get("draw", "2")).status(), 404);
}

/// Nothing in a file with a fault is applied, not even its address of discovery.
#[test]
fn a_file_with_a_fault_changes_nothing() {
    let (a, b) = two_backends();
    let proxy = Proxy::start(&both_serving(&a, &b));
    let elsewhere = DiscoveryServer::start();
    let at = proxy.discovery.address.to_string();
    let good = other_settings(&proxy.config.1).replace(&at, &elsewhere.address.to_string());
    let swap = |from: &str, to: &str| {
        assert!(good.contains(from), "{from}");
        good.replacen(from, to, 1)
    };
    let deadline = r#""deadline_us":3000000"#;
    let broken = [
        String::new(),
        "{".into(),
        "[]".into(),
        good[..good.len() / 2].into(),
        swap(r#""name":"n0","#, ""),
        swap(r#""limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"#, ""),
        swap(r#""granularity_us":5000,"#, ""),
        swap(r#""conn_idle_us":60000000,"#, ""),
        swap(&format!("{deadline},"), ""),
        swap(deadline, r#""deadline_us":0"#),
        swap(deadline, r#""deadline_us":-1"#),
        swap(deadline, r#""deadline_us":"3000000""#),
        swap(r#""max_attempts":1"#, r#""max_attempts":0"#),
        swap(r#""max_attempts":1"#, r#""max_attempts":-3"#),
        swap(r#""max_attempts":1"#, r#""max_attempts":null"#),
        swap(r#""max_attempts":1,"#, ""),
        swap(r#""name":"draw""#, r#""name":"vote""#),
        swap(r#""effect":"free""#, r#""effect":"other""#),
    ];
    for file in broken {
        proxy.reconfigure(&file);
        proxy.wait_for_log("configuration rejected");
        assert_eq!(proxy.ask(&get("draw", "1")).status(), 404, "{file}");
        assert_eq!(proxy.ask(&read(3.0)).status(), 200, "{file}");
    }
    let (_, answer) = proxy.discovery.next_call();
    answer.send((200, list(9, true, &both_serving(&a, &b)))).unwrap();
    let (_, _open_watch) = proxy.discovery.next_call(); // discovery is still at the old address
    proxy.reconfigure(&good);
    proxy.wait_for_log("configuration applied");
    elsewhere.next_call();
    assert_eq!(proxy.ask(&get("draw", "2")).status(), 200);
}

/// At SIGTERM the queue of an inherited listener is left to the successor. Accepted requests are answered and their
/// connections closed with the answer; idle connections are closed at once.
#[test]
fn a_successor_takes_over_without_a_request_lost() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let first = BackendServer::start(move |n| if n == 1 { Reply::Gate(held.clone()) } else { ok("first") });
    let second = BackendServer::start(|_| ok("second"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut old = Proxy::with_inherited_listener(&[entry("b0", first.address, "SERVING")], &listener);
    let (mut idle, mut open) = (old.client(), old.client());
    assert_eq!(idle.ask(&read(3.0)).body, b"first");
    open.send(&pay(3.0));
    (0..2).for_each(|_| drop(first.next_request()));
    old.signal("TERM");
    assert!(idle.ended());
    old.wait_for_log("stopping");
    let mut late = old.client();
    late.send(&read(3.0));
    let new = old.successor(&[entry("b1", second.address, "SERVING")], &listener);
    assert_eq!(new.operator_call("GET", "/admin/health", ""), 200);
    assert_eq!(late.answer().unwrap().body, b"second", "the old process leaves the queue alone");
    assert_eq!(old.operator_call("GET", "/admin/health", ""), 503, "it accepts no more clients");
    new.wait_for_log("processes=2");
    gate.open();
    let answer = open.answer().unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(old.child.wait().unwrap().success());
    new.wait_for_log("processes=1");
    assert_eq!(new.ask(&read(3.0)).body, b"second", "the new process still serves");
}
