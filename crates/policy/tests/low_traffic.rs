//! Fleets of so many proxies that each rarely uses most of the backends: effects that are small at one proxy add up.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;
use common::{backend, class, Host};
use lotusdeck_policy::*;

/// Runs one of a hundred proxies with ten requests per second, where only the backends accepted by `answers` answer.
/// Returns the fraction of the first attempts that went to the others, for each span of 200 requests.
fn unanswered_shares(list: Vec<Backend>, answers: impl Fn(u32) -> bool, spans: usize) -> Vec<f64> {
    let config = Config { proxy_count: 100, classes: vec![class(SideEffects::None)], ..Config::example() };
    let mut host = Host::new(config, 7);
    host.update_endpoints(ListUpdate::Full, list);
    let span = |_| {
        let mut lost = 0;
        for _ in 0..200 {
            let id = host.submit(0, 500_000);
            host.advance(20_000);
            lost += usize::from(host.sent_to(id).first().is_some_and(|b| !answers(*b)));
            for (id, no) in host.in_flight() {
                if answers(host.sent_to(id)[no]) {
                    host.end_attempt(id, no, Outcome::Success);
                }
            }
            host.advance(80_000);
        }
        lost as f64 / 200.0
    };
    (0..spans).map(span).collect()
}

/// Guards against a slow kind of machine that keeps its traffic share. All proxies first assume that kinds are
/// equally fast and overload the slowest one, whose answers come too late to be measured. It used to count as fast as
/// the others forever, and a third of all requests were lost there.
#[test]
fn a_kind_that_never_answers_in_time_loses_its_share() {
    let list: Vec<Backend> = (0..60).map(|i| backend(i, 0, i / 20)).collect();
    let shares = unanswered_shares(list, |b| b < 40, 3);
    assert!(shares[2] < 0.04, "share that went to the overloaded kind, per 20 s: {shares:?}");
}

/// Guards against probes of unhealthy backends that are few at each proxy, but together keep the backends from
/// recovering.
#[test]
fn probes_of_failing_backends_are_a_small_part_of_a_low_traffic_proxys_requests() {
    let list: Vec<Backend> = (0..60).map(|i| backend(i, 0, 0)).collect();
    let shares = unanswered_shares(list, |b| b % 3 != 0, 3);
    assert!(shares[2] < 0.06, "share that went to the failing third, per 20 s: {shares:?}");
}

/// Guards against too many proxies on one backend: with twenty, each of which may have one request in flight there,
/// a slow backend held twenty at once.
#[test]
fn no_more_proxies_share_a_backend_than_it_can_hold_requests() {
    let mut sharing = [0; 60];
    for position in 0..100 {
        let config = Config { proxy_count: 100, proxy_index: position, ..Config::example() };
        let mut host = Host::new(config, u64::from(position));
        host.update_endpoints(ListUpdate::Full, (0..60).map(|i| backend(i, 0, 0)).collect());
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..40 {
            let id = host.submit(0, 900_000);
            used.extend(host.sent_to(id));
            host.advance(10_000);
            host.end_attempt(id, 0, Outcome::Success);
        }
        used.iter().for_each(|b| sharing[*b as usize] += 1);
    }
    // Eight, and those whose subset ends within the backend's share.
    assert!(sharing.iter().all(|n| (4..=12).contains(n)), "{sharing:?}");
}

/// Guards against rejecting too late: when a proxy estimated twice the target in flight on every backend, most
/// answers were late already.
#[test]
fn a_low_traffic_proxy_rejects_at_one_and_a_half_times_the_target_in_flight() {
    let rejected = |proxies: u32| {
        let mut host = Host::new(Config { proxy_count: proxies, ..Config::example() }, 3);
        host.update_endpoints(ListUpdate::Full, (0..20).map(|i| backend(i, 0, 0)).collect());
        // One attempt in flight nearly all the time at each of the proxies, on twenty backends.
        let mut one = || {
            let id = host.submit(0, 990_000);
            host.advance(950_000);
            host.end_attempt(id, 0, Outcome::Success);
            host.requests[&id].answer == Some("rejected")
        };
        (0..20).any(|_| one())
    };
    assert!(!rejected(110), "5 in flight on each backend");
    assert!(rejected(145), "7 in flight on each backend");
}

/// Guards against a proxy with four times the mean traffic that expects the same of all others, and rejects requests
/// while the fleet is a third full. If the others report few attempts in flight, it must not reject; if they report
/// many, it must.
#[test]
fn load_reports_correct_the_estimate_of_a_high_traffic_proxy() {
    let list: Vec<Backend> = (0..10).map(|i| backend(i, 0, 0)).collect();
    // Returns the fraction of requests rejected in the last ten of forty seconds, each served after 200 ms, while
    // the others report this many attempts in flight.
    let rejected = |others: Option<f64>| {
        let config = Config { proxy_count: 20, classes: vec![class(SideEffects::None)], ..Config::example() };
        let mut host = Host::new(config, 7);
        host.update_endpoints(ListUpdate::Full, list.clone());
        let (mut requests, mut rejected) = (0, 0);
        for step in 0..1_600 {
            if let Some(reported) = others.filter(|_| step % 4 == 0) {
                host.handle_event(Event::FleetLoad { in_flight: reported });
            }
            let id = host.submit(0, 2_000_000);
            host.advance(25_000);
            for (id, no) in host.in_flight() {
                if host.now - host.requests[&id].attempts[no].sent_at >= Micros(200_000) {
                    host.end_attempt(id, no, Outcome::Success);
                }
            }
            if step >= 1_200 {
                requests += 1;
                rejected += usize::from(host.requests[&id].answer == Some("rejected"));
            }
        }
        f64::from(rejected as u32) / f64::from(requests)
    };
    // It has 8 in flight, and 19 like it would have 152, where 60 are one and a half times the target on ten
    // backends.
    let (alone, idle, full) = (rejected(None), rejected(Some(12.0)), rejected(Some(200.0)));
    println!("rejected: {alone:.2} without reports, {idle:.2} with idle others, {full:.2} with busy others");
    assert!(alone > 0.3 && idle < 0.02 && full > 0.3);
}
