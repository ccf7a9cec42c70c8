//! Discovery moves to an address whose list is older than the one in force: backends that drain stay out of use until the
//! new address has caught up.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::time::Instant;

/// Guards against a discovery at a new address that lags behind the old one and undoes a drain that was already
/// notified, although the backend has not been restarted since.
#[test]
fn a_drain_outlasts_a_move_to_a_discovery_that_lags_behind() {
    for settings in [SETTINGS.to_string(), polling_settings()] {
        let backend = BackendServer::start(|_| ok("x"));
        let listed = |state| vec![entry("b0", backend.address, state)];
        let proxy = Proxy::with_list(backend.address, &settings);
        proxy.discovery.next_call().1.send((200, list(10, false, &listed("DRAINING")))).unwrap();
        let (watch, _open_watch) = proxy.discovery.next_call();
        assert!(watch.contains("after=10&"), "{watch}");
        assert_eq!(proxy.ask(&pay(3.0)).status(), 503, "the backend drains");
        let lagging = DiscoveryServer::start();
        proxy.move_discovery(lagging.address);
        proxy.signal("HUP");
        lagging.next_call().1.send((200, list(9, true, &listed("SERVING")))).unwrap();
        let (watch, open_watch) = lagging.next_call(); // the list has been applied by now
        assert_eq!((proxy.ask(&pay(3.0)).status(), backend.count()), (503, 0), "sent after {watch}");
        // Once it has caught up, its lists are applied again.
        open_watch.send((200, list(11, false, &listed("SERVING")))).unwrap();
        let (watch, _open_watch) = lagging.next_call();
        assert!(watch.contains("after=11&"), "{watch}");
        assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
    }
}

/// Guards against older lists of a discovery that lags behind, of which the first one drains or leaves out a backend
/// that is draining already, and a later one undoes that.
#[test]
fn a_drain_outlasts_all_older_lists_of_a_discovery_that_lags_behind() {
    std::thread::scope(|scope| {
        for settings in [SETTINGS.to_string(), polling_settings()] {
            for drains_first in [true, false] {
                let settings = settings.clone();
                scope.spawn(move || {
                    let backend = BackendServer::start(|_| ok("x"));
                    let listed = |state| vec![entry("b0", backend.address, state)];
                    let proxy = Proxy::with_list(backend.address, &settings);
                    proxy.discovery.next_call().1.send((200, list(10, false, &listed("DRAINING")))).unwrap();
                    let (watch, _open_watch) = proxy.discovery.next_call();
                    assert!(watch.contains("after=10&"), "{watch}");
                    let lagging = DiscoveryServer::start();
                    proxy.move_discovery(lagging.address);
                    proxy.signal("HUP");
                    let first = if drains_first { listed("DRAINING") } else { Vec::new() };
                    lagging.next_call().1.send((200, list(7, true, &first))).unwrap();
                    lagging.next_call().1.send((200, list(8, false, &listed("SERVING")))).unwrap();
                    let (watch, open_watch) = lagging.next_call(); // the list has been applied by now
                    assert!(watch.contains("after=8&"), "{watch}");
                    assert_eq!((proxy.ask(&pay(3.0)).status(), backend.count()), (503, 0), "{drains_first}");
                    // Once it has caught up, its lists are applied again.
                    open_watch.send((200, list(10, false, &listed("DRAINING")))).unwrap();
                    lagging.next_call().1.send((200, list(11, false, &listed("SERVING")))).unwrap();
                    let (watch, _open_watch) = lagging.next_call();
                    assert!(watch.contains("after=11&"), "{watch}");
                    assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
                });
            }
        }
    });
}

/// Guards against a drain that the previous address reports after the new one has answered, and that an older list of the
/// new one undoes.
#[test]
fn a_drain_that_the_previous_address_reports_late_outlasts_older_lists() {
    for settings in [SETTINGS.to_string(), polling_settings()] {
        let backend = BackendServer::start(|_| ok("x"));
        let listed = |state| vec![entry("b0", backend.address, state)];
        let proxy = Proxy::with_list(backend.address, &settings);
        let (_, old_watch) = proxy.discovery.next_call();
        let lagging = DiscoveryServer::start();
        proxy.move_discovery(lagging.address);
        proxy.signal("HUP");
        lagging.next_call().1.send((200, list(9, true, &listed("SERVING")))).unwrap();
        let (_, watch) = lagging.next_call(); // the list has been applied by now
        old_watch.send((200, list(11, false, &listed("DRAINING")))).unwrap();
        let end = Instant::now() + TEST_TIMEOUT;
        while proxy.ask(&read(3.0)).status() != 503 {
            assert!(Instant::now() < end, "the drain was lost");
        }
        let served = backend.count();
        watch.send((200, list(10, false, &listed("SERVING")))).unwrap();
        let (target, watch) = lagging.next_call();
        assert!(target.contains("after=10&"), "{target}");
        assert_eq!((proxy.ask(&pay(3.0)).status(), backend.count()), (503, served));
        watch.send((200, list(12, false, &listed("SERVING")))).unwrap();
        let (target, _open_watch) = lagging.next_call();
        assert!(target.contains("after=12&"), "{target}");
        assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
    }
}
