//! A discovery that refuses, resets or stalls calls, is overloaded, or sends answers that are too long or malformed:
//! the proxy applies its changes in time and keeps all valid entries.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A change counts as notified this long after discovery had it and could be reached, whatever failed before.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);

/// The sender for the answer to a call of [`DiscoveryServer`].
type Answer = mpsc::Sender<(u16, String)>;

/// Answers after `time`, like an overloaded discovery that handles one call at a time.
fn answer_after(time: Duration, answer: Answer, text: String) {
    std::thread::spawn(move || {
        std::thread::sleep(time);
        let _ = answer.send((200, text));
    });
}

/// Discovery answers 503 for three seconds and leaves one call unanswered. From then on it can be reached: it refuses
/// one more call and answers each later one 2.5 s after its arrival. The proxy has the change within
/// [`NOTIFIED_AFTER`], and its calls before that were neither too rare nor too frequent.
#[test]
fn a_change_is_applied_in_time_after_refusals_silence_and_a_crowd() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_list(backend.address, &polling_settings());
    drop(proxy.discovery.next_call()); // closes the watch's connection
    let down = Instant::now();
    let mut refused = 0;
    while down.elapsed() < Duration::from_secs(3) {
        proxy.discovery.next_call().1.send((503, String::new())).unwrap();
        refused += 1;
    }
    let (_, _silent) = proxy.discovery.next_call();
    let reachable = Instant::now();
    proxy.discovery.next_call().1.send((503, String::new())).unwrap();
    let change = list(10, false, &[entry("b0", backend.address, "DRAINING")]);
    let received_after = loop {
        let (target, answer) = proxy.discovery.next_call();
        if target.contains("after=10&") {
            break reachable.elapsed();
        }
        assert!(reachable.elapsed() < 2 * NOTIFIED_AFTER, "the proxy never gets the change");
        answer_after(Duration::from_millis(2_500), answer, change.clone());
    };
    println!("received {received_after:?} after discovery could be reached, {refused} calls refused before");
    assert!(received_after < NOTIFIED_AFTER, "received {received_after:?} after discovery could be reached");
    // The pauses double: with shorter ones, a fleet would keep an overloaded discovery from ever answering.
    assert!((3..=8).contains(&refused), "{refused} calls in 3 s");
    assert_eq!((proxy.ask(&pay(3.0)).status(), backend.count()), (503, 0));
}

/// Guards against a pause, a silent call and a slow answer that together take longer than [`NOTIFIED_AFTER`] if the
/// refusal comes first: after the longest pause between calls one is refused, the next gets no answer, and each later
/// one is answered 2.5 s after its arrival.
#[test]
fn a_change_is_applied_in_time_after_a_refusal_and_a_silence() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_list(backend.address, &polling_settings());
    drop(proxy.discovery.next_call()); // closes the watch's connection
    let down = Instant::now();
    while down.elapsed() < Duration::from_secs(3) {
        proxy.discovery.next_call().1.send((503, String::new())).unwrap();
    }
    let reachable = Instant::now();
    let (_, _silent) = proxy.discovery.next_call();
    let change = list(10, false, &[entry("b0", backend.address, "DRAINING")]);
    let received_after = loop {
        let (target, answer) = proxy.discovery.next_call();
        if target.contains("after=10&") {
            break reachable.elapsed();
        }
        assert!(reachable.elapsed() < 2 * NOTIFIED_AFTER, "the proxy never gets the change");
        answer_after(Duration::from_millis(2_500), answer, change.clone());
    };
    println!("received {received_after:?} after the last refusal");
    assert!(received_after < NOTIFIED_AFTER, "received {received_after:?} after discovery could be reached");
    assert_eq!((proxy.ask(&pay(3.0)).status(), backend.count()), (503, 0));
}

/// A silent discovery is called again after the silence timeout and a pause: one call at a time, as it may be
/// overloaded, and often enough to notify changes in time.
#[test]
fn a_silent_discovery_has_one_call_at_a_time_and_is_called_again_in_time() {
    let (silence, longest_pause) = (Duration::from_secs(2), Duration::from_millis(1_900));
    std::thread::scope(|scope| {
        for settings in [SETTINGS.to_string(), polling_settings()] {
            scope.spawn(move || {
                let proxy = Proxy::with_settings(&[], 1024, &settings);
                let mut before = (proxy.discovery.next_call(), Instant::now());
                let mut open_calls = Vec::new();
                for _ in 0..4 {
                    let next = (proxy.discovery.next_call(), Instant::now());
                    let gap = next.1 - before.1;
                    let slack = Duration::from_millis(300); // for a busy machine
                    let bounds = silence - slack..silence + longest_pause + slack;
                    assert!(bounds.contains(&gap), "{gap:?}, {settings}");
                    open_calls.push(std::mem::replace(&mut before, next));
                }
            });
        }
    });
}

/// An overdue watch stays open while another call is made in parallel, and both are answered. If the answer to the
/// watch is newer than the list from the other call, it is applied; if it is older, it reverts nothing.
#[test]
fn an_overdue_watch_is_kept_and_its_answer_applied_beside_the_next_call() {
    std::thread::scope(|scope| {
        for drains_late in [true, false] {
            scope.spawn(move || {
                let backend = BackendServer::start(|_| ok("x"));
                let listed = |state| vec![entry("b0", backend.address, state)];
                let (serving, draining) = (listed("SERVING"), listed("DRAINING"));
                let (other, late) = match drains_late {
                    true => ((10, &serving), (11, &draining)),
                    false => ((11, &draining), (10, &serving)),
                };
                let proxy = Proxy::with_settings(&serving, 1024, &polling_settings());
                proxy.discovery.next_call().1.send((200, list(9, false, &[]))).unwrap();
                let (_, first) = proxy.discovery.next_call();
                let started = Instant::now();
                let (_, second) = proxy.discovery.next_call();
                let gap = started.elapsed();
                assert!(gap < Duration::from_millis(10_900), "a second call after {gap:?}");
                second.send((200, list(other.0, false, other.1))).unwrap();
                let (watch, open_watch) = proxy.discovery.next_call();
                assert!(watch.contains(&format!("after={}&", other.0)), "{watch}");
                first.send((200, list(late.0, false, late.1))).expect("the first call is still open");
                let end = Instant::now() + NOTIFIED_AFTER;
                while proxy.ask(&read(3.0)).status() != 503 {
                    assert!(Instant::now() < end, "the answer to the first call was lost: {late:?}");
                }
                open_watch.send((200, list(11, false, &[]))).unwrap();
                let (watch, _open_watch) = proxy.discovery.next_call();
                assert!(watch.contains("after=11&"), "{watch}");
                assert_eq!(proxy.ask(&read(3.0)).status(), 503, "an older list reverted a newer one");
            });
        }
    });
}

/// A fault of discovery in the answer to a call.
#[derive(Debug)]
enum Fault {
    Refuse,
    Reset,
    /// Sends these bytes and no more.
    Stall(&'static str),
    /// Sends a complete answer with this body.
    SendBody(String),
}

/// After each fault the next call is made in time, the log names the fault, and the current list stays in force.
#[test]
fn a_faulty_answer_is_logged_and_the_next_call_made_in_time() {
    let long = "x".repeat(17 << 20);
    let endless = vec!["{}".to_string(); 40_000];
    let faults = [
        (Fault::Refuse, "answered 503"),
        (Fault::Reset, "call broken"),
        (Fault::Stall(""), "silent"),
        (Fault::Stall("HTTP/1.1 200 X\r\nContent-Length: 300\r\n\r\n{\"index\":10,"), "does not answer"),
        (Fault::Stall("HTTP/1.1 200 X\r\nContent-Length: 99999999\r\n\r\n"), "longer than 16777216 bytes"),
        (Fault::SendBody("{\"index\":10,\"snapshot\":true}".into()), "answer not understood"),
        (Fault::SendBody("[".into()), "answer not understood"),
        (Fault::SendBody(list(10, true, &endless)), "expected an array of 32768 entries at most"),
        (Fault::SendBody(long), "longer than 16777216 bytes"),
    ];
    for (fault, line) in faults {
        for settings in [SETTINGS.to_string(), polling_settings()] {
            let backend = BackendServer::start(|_| ok("x"));
            let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 1024, &settings);
            let (first, answer) = proxy.discovery.next_call();
            let started = Instant::now();
            let open_call = match &fault {
                Fault::Refuse => answer.send((503, String::new())).map(|()| None),
                Fault::Reset => {
                    drop(answer);
                    Ok(None)
                }
                Fault::Stall(text) => answer.send((0, text.to_string())).map(|()| Some(answer)),
                Fault::SendBody(text) => answer.send((200, text.clone())).map(|()| None),
            };
            let _open_call = open_call.unwrap();
            let (again, _silent) = proxy.discovery.next_call();
            let took = started.elapsed();
            assert!(took < Duration::from_millis(2_500), "{took:?} after {first} until {again}: {fault:?}");
            let logged = proxy.wait_for_log(line);
            assert_eq!(proxy.ask(&read(3.0)).status(), 200, "the current list is lost: {logged}");
        }
    }
}

/// Indented lists of 10 MB, with up to the planned number of entries, are applied completely, and so are changes of
/// the same length. An operator can still cordon a backend that has left.
#[test]
fn long_lists_and_changes_are_applied_whole() {
    let backend = BackendServer::start(|_| ok("x"));
    for count in [1_500, 11_000] {
        let indent = " ".repeat(10_000_000 / count - 150);
        let nowhere = "127.0.0.1:9".parse().unwrap();
        let line = |n: usize, status| format!("\n{indent}{}", entry(&format!("s-{n}"), nowhere, status));
        let mut lines: Vec<String> = (0..count).map(|n| line(n, "DRAINING")).collect();
        lines.push(entry("b0", backend.address, "SERVING"));
        let full_list = list(9, true, &lines);
        assert!(full_list.len() > 9_000_000, "{}", full_list.len());
        let proxy = Proxy::with_settings(&[], 1024, &polling_settings());
        let started = Instant::now();
        proxy.discovery.next_call().1.send((200, full_list)).unwrap();
        let (watch, changes) = proxy.discovery.next_call();
        println!("{count} lines: next call after {:?}", started.elapsed());
        assert!(watch.contains("after=9&"), "{watch}");
        assert_eq!(proxy.ask(&read(3.0)).status(), 200);
        let mut lines: Vec<String> = (0..count).map(|n| line(n, "DELETED")).collect();
        lines.push(entry("b0", backend.address, "DRAINING"));
        changes.send((200, list(10, false, &lines))).unwrap();
        let (watch, _open_watch) = proxy.discovery.next_call();
        assert!(watch.contains("after=10&"), "{watch}");
        assert_eq!(proxy.ask(&read(3.0)).status(), 503);
        assert_eq!(
            proxy.operator_call("PUT", "/admin/cordon", "s-0"),
            200,
            "a backend that has left is unknown"
        );
    }
}

/// A backend that a full list leaves out, or that drains in the list of the configuration, gets no requests, not even
/// after changes that list it as draining.
#[test]
fn draining_backends_that_a_list_leaves_out_get_nothing() {
    let (leaving, other) = (BackendServer::start(|_| ok("leaving")), BackendServer::start(|_| ok("other")));
    let stays = entry("b1", other.address, "SERVING");
    let draining = entry("b0", leaving.address, "DRAINING");
    for settings in [SETTINGS.to_string(), polling_settings()] {
        let serving = entry("b0", leaving.address, "SERVING");
        for known in [serving, draining.clone()] {
            let proxy = Proxy::with_settings(&[known.clone(), stays.clone()], 1024, &settings);
            if known == draining {
                assert_eq!(proxy.ask(&pay(3.0)).body, b"other", "draining in the list of the configuration");
            }
            proxy.discovery.next_call().1.send((200, list(9, true, std::slice::from_ref(&stays)))).unwrap();
            let (_, changes) = proxy.discovery.next_call();
            assert_eq!(proxy.ask(&pay(3.0)).body, b"other", "left out of the full list");
            changes.send((200, list(10, false, std::slice::from_ref(&draining)))).unwrap();
            let (_, gone) = proxy.discovery.next_call();
            assert_eq!(proxy.ask(&pay(3.0)).body, b"other", "draining in the changes after it");
            gone.send((200, list(11, false, &[draining.replace("DRAINING", "DELETED")]))).unwrap();
            let (watch, _open_watch) = proxy.discovery.next_call();
            assert!(watch.contains("after=11&"), "{watch}");
            assert_eq!((proxy.ask(&pay(3.0)).body, leaving.count()), (b"other".to_vec(), 0));
        }
    }
}

/// Calls that discovery refuses while clients take every descriptor that becomes free.
const REFUSED_CALLS: usize = 8;

/// Clients with half a request use up the descriptors, of which there are fewer than configured, and queue for each
/// that becomes free. Calls to discovery after a broken watch are still made in time.
#[test]
fn a_descriptor_is_left_for_discovery_when_clients_use_them_up() {
    for settings in [SETTINGS.to_string(), polling_settings()] {
        let backend = BackendServer::start(|_| ok("x"));
        let serving = [entry("b0", backend.address, "SERVING")];
        let proxy = Proxy::with_descriptor_limit(&serving, 1024, &settings, 64);
        proxy.discovery.next_call().1.send((200, list(9, true, &serving))).unwrap();
        let (_, watch) = proxy.discovery.next_call();
        let half = pay(9.0);
        let half = &half[..half.len() - 2];
        let clients: Vec<Client> = (0..300).map(|_| proxy.client()).collect();
        let clients = clients.into_iter().map(|mut client| {
            client.send(half);
            client
        });
        let clients: Vec<Client> = clients.collect();
        let descriptors = format!("/proc/{}/fd", proxy.child.id());
        let end = Instant::now() + TEST_TIMEOUT;
        while std::fs::read_dir(&descriptors).unwrap().count() < 64 {
            assert!(Instant::now() < end, "the descriptors are never used up");
        }
        drop(watch);
        for _ in 0..REFUSED_CALLS {
            let started = Instant::now();
            proxy.discovery.next_call().1.send((503, String::new())).unwrap();
            let took = started.elapsed();
            assert!(took < Duration::from_millis(2_200), "{took:?} until the next call");
        }
        let (_, answer) = proxy.discovery.next_call();
        answer.send((200, list(10, false, &[entry("b0", backend.address, "DRAINING")]))).unwrap();
        let (watch, _open_watch) = proxy.discovery.next_call();
        assert!(watch.contains("after=10&"), "{watch}");
        drop(clients);
    }
}
