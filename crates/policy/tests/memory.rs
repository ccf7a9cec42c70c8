//! Tests that latencies, ejections and the used warm-up budget are restored by a process that starts.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

mod common;
use common::{backend, class, Host};
use lotusdeck_policy::*;

/// Creates one of three proxies at `now`, and restores the snapshot if there is one.
fn begun(seed: u64, list: &[Backend], now: Time, memory: Option<Snapshot>) -> Host {
    let mut host = Host::new(Config { classes: vec![class(SideEffects::None)], ..Config::example() }, seed);
    host.now = now;
    host.members(ListUpdate::Cached, list.to_vec());
    if let Some(memory) = memory {
        host.event(Event::Restored(Box::new(memory)));
    }
    host
}

/// Serves requests one after the other with 5 ms between them, each after the time that its backend takes; returns
/// the backends that they were sent to.
fn serve(host: &mut Host, requests: usize, takes_us: impl Fn(u32) -> u64) -> Vec<u32> {
    let mut sent = Vec::new();
    for _ in 0..requests {
        let id = host.arrive(0, 500_000);
        let Some(to) = host.sent_to(id).first().copied() else { continue };
        sent.push(to);
        host.advance(takes_us(to));
        host.end(id, 0, Outcome::Success);
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
fn remembered_speeds_hold_from_the_first_request_on() {
    let list: Vec<Backend> = (0..8).map(|i| backend(i, 0, i / 4)).collect();
    let takes = |b: u32| if b < 4 { 4_000 } else { 40_000 };
    let mut old = begun(5, &list, Time(1_000_000_000), None);
    let settled = serve(&mut old, 400, takes);
    let steady = part(&settled[200..], |b| b < 4);
    let memory = old.balancer.snapshot(old.now);
    assert!(memory.kinds.len() == 2 && memory.kinds.iter().all(|k| k.1.latency.samples >= 1.0), "{memory:?}");
    let later = old.now + Micros(5_000_000);
    // Clients disconnect after 5 ms, before any answer, so that nothing new is learned. The first tenth of a second
    // gives no arrival rate yet, and without one the shares follow the numbers of backends.
    let first = |memory: Option<&Snapshot>| {
        let mut sent = Vec::new();
        for seed in 0..20 {
            let mut host = begun(seed, &list, later, memory.cloned());
            for i in 0..20 {
                let id = host.arrive(0, 500_000);
                sent.extend(host.sent_to(id).first().filter(|_| i >= 10));
                host.advance(5_000);
                host.event(Event::ClientDisconnected { request: id });
                host.advance(20_000);
            }
        }
        part(&sent, |b| b < 4)
    };
    let (blank, kept) = (first(None), first(Some(&memory)));
    println!("to the fast kind: steady {steady:.2}, kept {kept:.2}, blank {blank:.2}");
    assert!(steady > 0.9 && kept > 0.9 && (0.35..0.65).contains(&blank));
}

/// Guards against a warm-up budget that is granted again after a restart: a process that is killed and restarted
/// within the overload window must send a cold backend no more than one that kept running.
#[test]
fn cold_budget_spent_before_a_restart_is_not_given_again() {
    let now = Time(1_000_000_000);
    let list = vec![Backend { started_at: Some(now), ..backend(0, 0, 0) }, backend(1, 0, 0)];
    // Sends a flood of requests, each answered after 50 ms; returns how many went to the cold backend.
    let flood = |host: &mut Host, steps: usize| {
        let before = host.requests.len();
        for _ in 0..steps {
            host.burst(3, 0, 400_000);
            host.advance(10_000);
            for (id, no) in host.out() {
                if host.now - host.requests[&id].tries[no].at >= Micros(50_000) {
                    host.end(id, no, Outcome::Success);
                }
            }
        }
        host.requests.keys().skip(before).filter(|id| host.sent_to(**id).contains(&0)).count()
    };
    let mut lived = begun(5, &list, now, None);
    let first = flood(&mut lived, 150);
    let memory = lived.balancer.snapshot(lived.now);
    let spent: f64 = memory.warmup_spend.iter().map(|s| s.work).sum();
    assert!(first > 3 && (spent - first as f64).abs() < 1.0, "{spent} kept of {first}");
    assert!(memory.warmup_spend.len() <= 9, "eight slots and a part: {}", memory.warmup_spend.len());
    let forgetful = Snapshot { warmup_spend: Vec::new(), ..memory.clone() };
    let again = |memory| flood(&mut begun(5, &list, lived.now, Some(memory)), 40);
    let (anew, kept) = (again(forgetful), again(memory));
    let on = flood(&mut lived, 40);
    println!(
        "sent to the cold backend: {first} before; then {on} alive, {kept} kept, {anew} with the budget anew"
    );
    assert!(anew > on + 2, "a budget anew is seen: {anew}, alive {on}");
    assert!(kept <= on + 1, "kept {kept}, alive {on}");
}

/// Guards against full load on a backend that was ejected before a restart: it starts on probation, gets one request
/// at a time, and is trusted after three.
#[test]
fn ejected_before_a_restart_begins_on_trial() {
    let list: Vec<Backend> = (0..4).map(|i| backend(i, 0, 0)).collect();
    let now = Time(1_000_000_000);
    let memory = Snapshot { ejected: vec![(BackendId(2), 2)], ..Snapshot::default() };
    let mut kept = begun(5, &list, now, Some(memory));
    let ids = kept.burst(4, 0, 500_000);
    let there = ids.iter().filter(|id| kept.sent_to(**id) == [2]).count();
    assert!(there <= 1, "one request at a time: {there}");
    kept.serve_all(5_000);
    let sent = serve(&mut kept, 120, |_| 5_000);
    assert!(sent.contains(&2), "it is tried");
    assert!(kept.logs.iter().any(|l| l == "backend 2 is back"), "{:?}", kept.logs);
}

/// Guards against invalid values in a restored file: unknown ids, values that are not positive numbers, times before
/// the start of the clock, unlimited work.
#[test]
fn a_memory_that_makes_no_sense_changes_nothing() {
    let list: Vec<Backend> = (0..4).map(|i| backend(i, 0, 0)).collect();
    let now = Time(1_000_000_000);
    let bad = [f64::NAN, f64::INFINITY, -1.0, 0.0];
    for value in bad {
        let e = Estimate { value, samples: 50.0 };
        let memory = Snapshot {
            overall_latency: e,
            class_latency: vec![(ClassId(0), e), (ClassId(99), Estimate { value: 1.0, samples: value })],
            kinds: vec![(KindId(0), KindEstimates { latency: e, flow: e })],
            ejected: vec![(BackendId(77), u32::MAX)],
            warmup_spend: vec![
                WarmupSpend { backend: BackendId(1), ago: Micros(0), work: value },
                WarmupSpend { backend: BackendId(1), ago: Micros(u64::MAX), work: 1e9 },
                WarmupSpend { backend: BackendId(77), ago: Micros(0), work: 1.0 },
            ],
        };
        let play = |memory| serve(&mut begun(5, &list, now, memory), 100, |_| 5_000);
        assert_eq!(play(Some(memory)), play(None), "{value}");
    }
}
