//! The poll of discovery after a failed one: it follows in time, whatever is received during the pause.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Longest time from a refused poll to the next one, and time for a busy machine.
const NEXT_POLL_WITHIN: Duration = Duration::from_millis(2_500);
/// Refused polls before the pause that a list arrives in: with the fourth it lasts 0.4 s at least.
const REFUSED_POLLS: u64 = 4;

/// The sender for the answer to a call of [`DiscoveryServer`].
type Answer = mpsc::Sender<(u16, String)>;

/// Both ways of discovery.
fn settings_of_both_modes() -> [String; 2] {
    [SETTINGS.to_string(), polling_settings()]
}

/// Returns the state of the proxy's client of discovery.
fn discovery_status(proxy: &Proxy) -> serde_json::Value {
    let answer = Client::connect(proxy.admin)
        .ask("GET /admin/status HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n");
    let document: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    document["discovery"].clone()
}

/// Refuses the given poll and the next ones, and returns once the proxy is in the pause after the last of them.
fn refuse_polls(proxy: &Proxy, discovery: &DiscoveryServer, first: Answer) {
    let failed_before = discovery_status(proxy)["failed_polls"].as_u64().unwrap();
    first.send((503, String::new())).unwrap();
    for _ in 1..REFUSED_POLLS {
        discovery.next_call().1.send((503, String::new())).unwrap();
    }
    let end = Instant::now() + TEST_TIMEOUT;
    while discovery_status(proxy)["failed_polls"] != failed_before + REFUSED_POLLS {
        assert!(Instant::now() < end, "the refusals were not counted");
    }
}

/// Asserts that the next poll comes in time, for the changes since `known_version` or for the full list, and that its
/// answer is applied: the backend drains.
fn assert_drain_is_followed(
    proxy: &Proxy, discovery: &DiscoveryServer, known_version: Option<u64>, backend: &BackendServer,
) {
    let refused_at = Instant::now();
    let call = discovery.try_next_call(NEXT_POLL_WITHIN);
    let (target, answer) = call.unwrap_or_else(|| panic!("no poll: {}", discovery_status(proxy)));
    println!("{target} {:?} after the refusals", refused_at.elapsed());
    match known_version {
        Some(version) => assert!(target.contains(&format!("after={version}&")), "{target}"),
        None => assert!(!target.contains("after="), "{target}"),
    }
    let draining = [entry("b0", backend.address, "DRAINING")];
    answer.send((200, list(20, known_version.is_none(), &draining))).unwrap();
    let (watch, _open_watch) = discovery.next_call();
    assert!(watch.contains("after=20&"), "{watch}");
    assert_eq!((proxy.ask(&pay(3.0)).status(), backend.count()), (503, 0));
}

/// Returns a change that has nothing to do with the backend that is about to drain.
fn unrelated_change(version: u64) -> (u16, String) {
    let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
    (200, list(version, false, &[entry("b1", nowhere, "DRAINING")]))
}

/// Starts a proxy that has version 9 of the list, and returns it with its open watch.
fn start_with_watch(backend: &BackendServer, settings: &str) -> (Proxy, Answer) {
    let proxy = Proxy::with_list(backend.address, settings);
    let (watch, answer) = proxy.discovery.next_call();
    assert!(watch.contains("after=9&"), "{watch}");
    (proxy, answer)
}

/// Guards against a proxy that stops polling when its previous discovery still answers after the new one has refused
/// a poll.
#[test]
fn discovery_is_polled_again_after_its_previous_address_answers_during_the_pause() {
    for settings in settings_of_both_modes() {
        let backend = BackendServer::start(|_| ok("x"));
        let (proxy, old_watch) = start_with_watch(&backend, &settings);
        let moved = DiscoveryServer::start();
        proxy.move_discovery(moved.address);
        proxy.signal("HUP");
        refuse_polls(&proxy, &moved, moved.next_call().1);
        old_watch.send(unrelated_change(10)).unwrap();
        // Where lists are pushed, the full list is requested after a move.
        let known_version = settings.contains("subscribe").then_some(10);
        assert_drain_is_followed(&proxy, &moved, known_version, &backend);
    }
}

/// Guards against a proxy that stops polling when a poll that was silent for long is answered while it waits after
/// the failure of another one.
#[test]
fn discovery_is_polled_again_after_a_late_answer_during_the_pause() {
    for settings in settings_of_both_modes() {
        let backend = BackendServer::start(|_| ok("x"));
        let (proxy, watch) = start_with_watch(&backend, &settings);
        drop(watch); // closes its connection
        let silent = loop {
            let (target, answer) = proxy.discovery.next_call();
            if target.contains("wait_ms=0") {
                break answer;
            }
            answer.send((503, String::new())).unwrap();
        };
        proxy.discovery.next_call().1.send((200, list(10, false, &[]))).unwrap();
        refuse_polls(&proxy, &proxy.discovery, proxy.discovery.next_call().1);
        silent.send(unrelated_change(11)).unwrap();
        assert_drain_is_followed(&proxy, &proxy.discovery, Some(11), &backend);
    }
}
