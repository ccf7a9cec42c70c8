//! Tests that latencies, ejections and the used warm-up budget are restored by a process that starts.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;
use common::{backend, class, Host};
use lotusdeck_policy::*;

/// Creates one of three proxies at `now`, and restores the snapshot if there is one.
fn started_host(seed: u64, list: &[Backend], now: Time, snapshot: Option<Snapshot>) -> Host {
    let mut host = Host::new(Config { classes: vec![class(SideEffects::None)], ..Config::example() }, seed);
    host.now = now;
    host.update_endpoints(ListUpdate::Cached, list.to_vec());
    if let Some(snapshot) = snapshot {
        host.handle_event(Event::Restored(Box::new(snapshot)));
    }
    host
}

/// Serves requests one after the other with 5 ms between them, each after the time that its backend takes; returns
/// the backends that they were sent to.
fn serve(host: &mut Host, requests: usize, takes_us: impl Fn(u32) -> u64) -> Vec<u32> {
    let mut sent = Vec::new();
    for _ in 0..requests {
        let id = host.submit(0, 500_000);
        let Some(to) = host.sent_to(id).first().copied() else { continue };
        sent.push(to);
        host.advance(takes_us(to));
        host.end_attempt(id, 0, Outcome::Success);
        host.advance(5_000);
    }
    sent
}

fn part(sent: &[u32], of: impl Fn(u32) -> bool) -> f64 {
    sent.iter().filter(|b| of(**b)).count() as f64 / sent.len().max(1) as f64
}

/// Guards against estimates that are not used from the first request on. One of two kinds is ten times as fast;
/// without estimates they count as equal at first.
#[test]
fn restored_latencies_apply_from_the_first_request_on() {
    let list: Vec<Backend> = (0..8).map(|i| backend(i, 0, i / 4)).collect();
    let takes = |b: u32| if b < 4 { 4_000 } else { 40_000 };
    let mut old = started_host(5, &list, Time(1_000_000_000), None);
    let sent = serve(&mut old, 400, takes);
    let steady = part(&sent[200..], |b| b < 4);
    let snapshot = old.balancer.snapshot(old.now);
    assert!(
        snapshot.kinds.len() == 2 && snapshot.kinds.iter().all(|k| k.1.latency.samples >= 1.0),
        "{snapshot:?}"
    );
    let later = old.now + Micros(5_000_000);
    // Clients disconnect after 5 ms, before any answer, so that nothing new is learned. The first tenth of a second
    // gives no arrival rate yet, and without one the shares follow the numbers of backends.
    let first = |snapshot: Option<&Snapshot>| {
        let mut sent = Vec::new();
        for seed in 0..20 {
            let mut host = started_host(seed, &list, later, snapshot.cloned());
            for i in 0..20 {
                let id = host.submit(0, 500_000);
                sent.extend(host.sent_to(id).first().filter(|_| i >= 10));
                host.advance(5_000);
                host.handle_event(Event::ClientDisconnected { request: id });
                host.advance(20_000);
            }
        }
        part(&sent, |b| b < 4)
    };
    let (unrestored_share, restored) = (first(None), first(Some(&snapshot)));
    println!("share of the fast kind: steady {steady:.2}, restored {restored:.2}, unrestored {unrestored_share:.2}");
    assert!(steady > 0.9 && restored > 0.9 && (0.35..0.65).contains(&unrestored_share));
}

/// Guards against a warm-up budget that is granted again after a restart: a process that is killed and restarted
/// within the overload window must send a cold backend no more than one that kept running.
#[test]
fn warmup_budget_spent_before_a_restart_is_not_granted_again() {
    let now = Time(1_000_000_000);
    let list = vec![Backend { started_at: Some(now), ..backend(0, 0, 0) }, backend(1, 0, 0)];
    // Sends a flood of requests, each answered after 50 ms; returns how many went to the cold backend.
    let flood = |host: &mut Host, steps: usize| {
        let before = host.requests.len();
        for _ in 0..steps {
            host.burst(3, 0, 400_000);
            host.advance(10_000);
            for (id, no) in host.in_flight() {
                if host.now - host.requests[&id].attempts[no].sent_at >= Micros(50_000) {
                    host.end_attempt(id, no, Outcome::Success);
                }
            }
        }
        host.requests.keys().skip(before).filter(|id| host.sent_to(**id).contains(&0)).count()
    };
    let mut running = started_host(5, &list, now, None);
    let first = flood(&mut running, 150);
    let snapshot = running.balancer.snapshot(running.now);
    let spent: f64 = snapshot.warmup_spend.iter().map(|s| s.work).sum();
    assert!(first > 3 && (spent - first as f64).abs() < 1.0, "{spent} of {first} in the snapshot");
    assert!(
        snapshot.warmup_spend.len() <= 9,
        "at most eight full slots and a partial one: {}",
        snapshot.warmup_spend.len()
    );
    let without_spend = Snapshot { warmup_spend: Vec::new(), ..snapshot.clone() };
    let again = |snapshot| flood(&mut started_host(5, &list, running.now, Some(snapshot)), 40);
    let (unrestored, restored) = (again(without_spend), again(snapshot));
    let sent_by_running = flood(&mut running, 40);
    println!(
        "sent to the cold backend: {first} before; then {sent_by_running} running, {restored} restored, {unrestored} unrestored"
    );
    assert!(
        unrestored > sent_by_running + 2,
        "the flood must show a budget granted again: {unrestored}, running {sent_by_running}"
    );
    assert!(restored <= sent_by_running + 1, "restored {restored}, running {sent_by_running}");
}

/// Guards against full load on a backend that was ejected before a restart: it starts on probation, gets one request
/// at a time, and is trusted after three.
#[test]
fn a_backend_ejected_before_a_restart_starts_on_probation() {
    let list: Vec<Backend> = (0..4).map(|i| backend(i, 0, 0)).collect();
    let now = Time(1_000_000_000);
    let snapshot = Snapshot { ejected: vec![(BackendId(2), 2)], ..Snapshot::default() };
    let mut restored = started_host(5, &list, now, Some(snapshot));
    let ids = restored.burst(4, 0, 500_000);
    let there = ids.iter().filter(|id| restored.sent_to(**id) == [2]).count();
    assert!(there <= 1, "more than one request at a time on probation: {there}");
    restored.serve_all(5_000);
    let sent = serve(&mut restored, 120, |_| 5_000);
    assert!(sent.contains(&2), "the backend is probed");
    assert!(restored.logs.iter().any(|l| l == "backend 2 is back"), "{:?}", restored.logs);
}

/// Guards against invalid values in a restored file: unknown ids, values that are not positive numbers, times too
/// long ago, infinite work.
#[test]
fn an_invalid_snapshot_changes_nothing() {
    let list: Vec<Backend> = (0..4).map(|i| backend(i, 0, 0)).collect();
    let now = Time(1_000_000_000);
    let bad = [f64::NAN, f64::INFINITY, -1.0, 0.0];
    for value in bad {
        let e = Estimate { value, samples: 50.0 };
        let snapshot = Snapshot {
            overall_latency: e,
            class_latency: vec![(ClassId(0), e), (ClassId(99), Estimate { value: 1.0, samples: value })],
            kinds: vec![(KindId(0), KindEstimates { latency: e, measured_rate: e })],
            ejected: vec![(BackendId(77), u32::MAX)],
            warmup_spend: vec![
                WarmupSpend { backend: BackendId(1), ago: Micros(0), work: value },
                WarmupSpend { backend: BackendId(1), ago: Micros(u64::MAX), work: 1e9 },
                WarmupSpend { backend: BackendId(77), ago: Micros(0), work: 1.0 },
            ],
        };
        let served_by = |snapshot| serve(&mut started_host(5, &list, now, snapshot), 100, |_| 5_000);
        assert_eq!(served_by(Some(snapshot)), served_by(None), "{value}");
    }
}
