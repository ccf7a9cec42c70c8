//! Subscriptions to the endpoint list: when they are requested and retried.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;

use common::{backend, Host};
use lotusdeck_policy::*;

const POLL_WITHIN: Micros = Micros(10_000_000);
/// The longest pause before a retry, and one tick.
const LONGEST_PAUSE_US: u64 = 1_210_000;

/// Starts a host that has requested its first subscription.
fn subscribing_host(seed: u64) -> Host {
    let config =
        Config { discovery: DiscoveryMode::Subscribe { poll_within: POLL_WITHIN }, ..Config::example() };
    let mut host = Host::new(config, seed);
    host.update_endpoints(ListUpdate::Cached, vec![backend(0, 0, 0)]);
    assert_eq!(host.watch_requests, 1);
    host
}

fn fail(host: &mut Host) {
    host.handle_event(Event::EndpointsUpdated { update: ListUpdate::Failed, backends: Vec::new() });
}

/// Guards against a retry that is cancelled by a list that answers an older request.
#[test]
fn a_list_in_the_pause_after_a_failure_does_not_cancel_the_retry() {
    for update in [ListUpdate::Changes, ListUpdate::Full] {
        for (seed, failures) in (0..50).flat_map(|seed| [(seed, 1), (seed, 6)]) {
            let mut host = subscribing_host(seed);
            host.update_endpoints(ListUpdate::Changes, vec![backend(1, 0, 0)]);
            for _ in 1..failures {
                fail(&mut host);
                host.advance(LONGEST_PAUSE_US);
            }
            let before = host.watch_requests;
            fail(&mut host);
            host.update_endpoints(update, vec![backend(0, 0, 0), backend(1, 0, 0)]);
            host.advance(LONGEST_PAUSE_US);
            assert_eq!(host.watch_requests, before + 1, "seed {seed}, {failures} failures, {update:?}");
        }
    }
}

/// Of random updates and failures, each failure is followed by a request within the longest pause, and a subscription
/// that was confirmed since its request is not requested again.
#[test]
fn each_failure_is_retried_in_time_whatever_is_received() {
    for seed in 0..200 {
        let mut host = subscribing_host(seed);
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = |below: u64| {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % below
        };
        for step in 0..60 {
            let before = host.watch_requests;
            let mut is_due = false;
            for _ in 0..=draw(3) {
                match draw(4) {
                    0 => host.update_endpoints(ListUpdate::Changes, vec![backend(draw(3) as u32, 0, 0)]),
                    1 => host.update_endpoints(ListUpdate::Full, vec![backend(0, 0, 0)]),
                    _ => {
                        fail(&mut host);
                        is_due = true;
                    }
                }
            }
            host.advance(LONGEST_PAUSE_US);
            assert!(!is_due || host.watch_requests > before, "seed {seed}, step {step}: no retry");
            host.update_endpoints(ListUpdate::Changes, Vec::new());
            let confirmed = host.watch_requests;
            host.advance(2 * POLL_WITHIN.0);
            assert_eq!(
                host.watch_requests, confirmed,
                "seed {seed}, step {step}: requested while subscribed"
            );
        }
    }
}
