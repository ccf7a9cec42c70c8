//! Tests of single behaviours and of failures found earlier, through the public interface.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;
use common::{backend, class, Host};
use lotusdeck_policy::*;

fn fleet(count: u32) -> Vec<Backend> {
    (0..count).map(|i| backend(i, 0, 0)).collect()
}

fn config(classes: Vec<Class>) -> Config {
    Config { classes, ..Config::example() }
}

fn host(config: Config, list: Vec<Backend>) -> Host {
    let mut host = Host::new(config, 11);
    host.update_endpoints(ListUpdate::Full, list);
    host
}

/// Serves requests one after the other, each after a time that may depend on its backend; returns the chosen
/// backends.
fn serve(host: &mut Host, count: usize, class: usize, time: impl Fn(u32) -> u64) -> Vec<u32> {
    let mut chosen = Vec::new();
    for _ in 0..count {
        let id = host.submit(class, 900_000);
        chosen.extend(host.sent_to(id));
        host.advance(host.sent_to(id).first().map_or(5_000, |b| time(*b)));
        host.end_attempt(id, 0, Outcome::Success);
    }
    chosen
}

#[test]
fn an_invalid_configuration_is_a_typed_error() {
    let invalid_field_of = |change: fn(&mut Config)| {
        let mut config = Config::example();
        change(&mut config);
        Balancer::new(config, 1).err().map(|e| e.field)
    };
    assert_eq!(invalid_field_of(|c| c.proxy_count = 0), Some("proxies"));
    assert_eq!(invalid_field_of(|c| c.classes.clear()), Some("classes"));
    assert_eq!(invalid_field_of(|c| c.classes[0].latency_objective = Micros(0)), Some("aim"));
    assert_eq!(invalid_field_of(|c| c.classes[0].priority_weight = f64::NAN), Some("worth"));
    assert_eq!(invalid_field_of(|c| c.classes[0].late_value_factor = 1.5), Some("late_worth"));
    assert_eq!(invalid_field_of(|c| c.tenants.push(Tenant { quota_per_s: -1.0 })), Some("quota_per_s"));
    assert_eq!(invalid_field_of(|c| c.attempts.max_attempts = 0), Some("max_attempts"));
    assert_eq!(invalid_field_of(|c| c.tick = Micros(0)), Some("tick"));
    assert_eq!(invalid_field_of(|c| c.slow_start.floor = -0.1), Some("cold_from"));
    assert_eq!(invalid_field_of(|c| c.slow_start.overload_multiple = f64::INFINITY), Some("fall_multiple"));
    assert_eq!(invalid_field_of(|_| ()), None);
}

#[test]
fn an_empty_fleet_rejects_in_time() {
    let mut host =
        host(config(vec![class(SideEffects::None), class(SideEffects::NonIdempotent)]), Vec::new());
    let ids = [host.submit(0, 700_000), host.submit(1, 700_000)];
    // A rejection after half of the request's time, with nothing sent, costs as much as a third of a request.
    host.advance(345_000);
    assert!(ids.iter().all(|id| host.requests[id].answer == Some("rejected")));
}

#[test]
fn a_short_request_after_idleness_is_answered_in_time() {
    // Guards against a timer that ran for ten ticks while no request was open; found by the property tests.
    let mut host = host(Config::example(), Vec::new());
    host.advance(1_000_000);
    let id = host.submit(0, 6_000);
    host.advance(20_000);
    assert_eq!(host.requests[&id].answer, Some("rejected"));
}

/// Guards against requests to a cordoned backend after an update of the list, and against full load on it once the
/// cordon is lifted: it goes through slow start then, as after a restart.
#[test]
fn a_cordoned_backend_gets_no_requests_and_comes_back_cold() {
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, fleet(3));
    let count_sent_to_1 = |chosen: Vec<u32>| chosen.iter().filter(|b| **b == 1).count();
    assert!(count_sent_to_1(serve(&mut host, 300, 0, |_| 20_000)) > 60);
    host.handle_event(Event::Cordoned { backends: vec![BackendId(1)] });
    assert_eq!(count_sent_to_1(serve(&mut host, 100, 0, |_| 20_000)), 0);
    host.update_endpoints(ListUpdate::Full, fleet(3));
    assert_eq!(
        count_sent_to_1(serve(&mut host, 100, 0, |_| 20_000)),
        0,
        "an update of the list does not lift the cordon"
    );
    host.handle_event(Event::Cordoned { backends: Vec::new() });
    let first = count_sent_to_1(serve(&mut host, 300, 0, |_| 20_000));
    assert!((1..75).contains(&first), "{first} of 300 went to the cold backend");
    host.update_endpoints(ListUpdate::Full, fleet(3));
    let again = count_sent_to_1(serve(&mut host, 30, 0, |_| 20_000));
    assert!(again < 15, "{again} of 30: an older list does not end slow start");
    host.advance(20_000_000);
    assert!(count_sent_to_1(serve(&mut host, 300, 0, |_| 20_000)) > 60, "fully used after slow start");
}

#[test]
fn at_light_load_the_faster_kind_takes_nearly_all() {
    let list = (0..6).map(|i| backend(i, 0, i % 2)).collect();
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, list);
    let time = |b: u32| if b.is_multiple_of(2) { 20_000 } else { 80_000 };
    serve(&mut host, 150, 0, time);
    let chosen = serve(&mut host, 100, 0, time);
    let fast = chosen.iter().filter(|b| b.is_multiple_of(2)).count();
    assert!(fast >= 95, "{fast} of 100 went to the fast kind");
}

#[test]
fn within_a_kind_traffic_is_spread_evenly() {
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, fleet(4));
    let chosen = serve(&mut host, 800, 0, |_| 20_000);
    for b in 0..4 {
        let part = chosen.iter().filter(|c| **c == b).count();
        assert!((150..=250).contains(&part), "backend {b} got {part} of 800");
    }
}

#[test]
fn a_silent_backend_gets_no_new_requests() {
    let mut host = host(config(vec![class(SideEffects::None)]), fleet(6));
    serve(&mut host, 100, 0, |_| 10_000);
    let ids = host.burst(6, 0, 900_000);
    let silent = host.sent_to(ids[0])[0];
    assert!(ids.iter().all(|id| host.sent_to(*id).len() == 1));
    // An answer that never came used to count as in flight, so that a backend with a limit of one got no more
    // requests.
    let mut unanswered = 0;
    for id in ids {
        let there = host.sent_to(id)[0] == silent;
        unanswered += usize::from(there);
        if !there {
            host.end_attempt(id, 0, Outcome::Success);
        }
    }
    host.advance(100_000);
    for _ in 0..100 {
        let id = host.submit(0, 900_000);
        if host.sent_to(id)[0] == silent {
            unanswered += 1;
            host.advance(100_000);
            assert_eq!(
                host.sent_to(id).len(),
                1,
                "hedged because of age alone, which would overload every backend"
            );
        } else {
            host.advance(5_000);
            host.end_attempt(id, 0, Outcome::Success);
        }
    }
    assert_eq!(
        unanswered, 2,
        "one unanswered request may be a lost answer, two mean that the backend is silent"
    );
}

/// Guards against a backend that never answers one class and serves the others: two requests in a row of each class
/// still went there.
#[test]
fn a_backend_silent_for_one_class_serves_the_others() {
    let mut host = host(config(vec![class(SideEffects::None), class(SideEffects::None)]), fleet(4));
    serve(&mut host, 100, 0, |_| 10_000);
    serve(&mut host, 100, 1, |_| 10_000);
    let (mut unanswered, mut served) = (0, 0);
    for n in 0..120 {
        let id = host.submit(n % 2, 900_000);
        let there = host.sent_to(id)[0] == 2;
        if there && n % 2 == 1 {
            unanswered += 1;
            host.advance(100_000);
        } else {
            served += usize::from(there);
            host.advance(1_000);
            host.end_attempt(id, 0, Outcome::Success);
        }
    }
    assert!(
        (2..=4).contains(&unanswered),
        "two unanswered requests, and one more for each probe: {unanswered}"
    );
    assert!(served > 10, "the other class is still served there: {served}");
}

/// Guards against lost answers that are noticed only at the deadline: at four times the load, one answer in a
/// hundred never came, and each request waited until its deadline.
#[test]
fn where_most_attempts_of_some_age_are_lost_they_are_hedged() {
    for lost in [true, false] {
        let mut host = host(config(vec![class(SideEffects::None)]), fleet(6));
        serve(&mut host, 100, 0, |_| 10_000);
        let mut hedged = Vec::new();
        for n in 0..150 {
            let id = host.submit(0, 700_000);
            host.advance([300_000, 100_000, 100_000].get(n % 10).copied().unwrap_or(10_000));
            if n % 10 == 0 {
                hedged.push(host.sent_to(id).len() == 2);
            }
            if n % 10 == 0 && lost && host.sent_to(id).len() == 1 {
                host.advance(400_000);
            } else {
                host.end_attempt(id, host.sent_to(id).len() - 1, Outcome::Success);
            }
        }
        assert!(!hedged[..5].contains(&true), "hedged before the loss could be known: {hedged:?}");
        assert_eq!(hedged[10..].contains(&true), lost, "hedged if and only if answers are lost: {hedged:?}");
        // Requests sent to a backend on probation may find no other one with capacity.
        let most = hedged[10..].iter().filter(|c| **c).count() > 2;
        assert_eq!(most, lost, "{hedged:?}");
    }
}

#[test]
fn once_a_backend_is_ejected_its_other_requests_are_sent_again() {
    for allow_hedging in [true, false] {
        let mut config = Config { proxy_count: 1, ..config(vec![class(SideEffects::None)]) };
        config.attempts.allow_hedging = allow_hedging;
        let mut host = host(config, fleet(1));
        serve(&mut host, 100, 0, |_| 10_000);
        host.advance(5_000);
        let two = [host.submit(0, 900_000), host.submit(0, 900_000)];
        host.update_endpoints(ListUpdate::Full, fleet(6));
        host.advance(20_000);
        host.end_attempt(two[0], 0, Outcome::TimedOut);
        host.advance(20_000);
        assert_eq!(host.sent_to(two[1]).len(), 2, "hedging allowed: {allow_hedging}");
        let is_cancelled = host.requests[&two[1]].attempts[0].outcome == Some(Outcome::Cancelled);
        assert_eq!(
            is_cancelled, !allow_hedging,
            "the first attempt is cancelled if and only if hedging is not allowed"
        );
    }
}

#[test]
fn in_flight_limits_of_few_proxies_add_up_to_the_target_of_a_backend() {
    // Incident i962b3c: when each proxy rounded its limit at random, some backends were overloaded and others idle.
    let mut held = [0; 6];
    for position in 0..3 {
        let mut host = host(Config { proxy_count: 3, proxy_index: position, ..Config::example() }, fleet(6));
        host.burst(40, 0, 900_000);
        let attempts = host.requests.values().flat_map(|r| &r.attempts);
        attempts.for_each(|t| held[t.backend.0 as usize] += 1);
    }
    assert_eq!(held, [4; 6]);
}

#[test]
fn a_low_traffic_tenant_within_its_quota_is_rarely_rejected() {
    // In a fleet of full size, a proxy's part of a quota is below one request per second: two that arrived at once
    // by chance exceeded it.
    let tenants = vec![Tenant { quota_per_s: 50.0 }];
    let mut host = host(Config { proxy_count: 100, tenants, ..Config::example() }, fleet(30));
    let mut rejected = 0;
    for _ in 0..30 {
        // Two requests every nine seconds, 0.22 per second of the 0.5 allowed, in a fleet with about five in flight
        // on each backend.
        let ids: Vec<RequestId> =
            (0..2).map(|_| host.submit_for_tenant(0, 8_000_000, Some(TenantId(0)))).collect();
        host.advance(7_000_000);
        rejected += ids.iter().filter(|id| host.requests[id].answer == Some("rejected")).count();
        ids.iter().for_each(|id| host.end_attempt(*id, 0, Outcome::Success));
        host.advance(2_000_000);
    }
    assert!(rejected <= 3, "{rejected} of 60 were rejected");
}

#[test]
fn an_idle_proxy_sets_few_timers() {
    // Incidents ibb5992, ifde279 and i0dce2b: a timer at every tick in each of a thousand proxies used up the CPU.
    let mut host = host(config(vec![class(SideEffects::None)]), fleet(100));
    serve(&mut host, 20, 0, |_| 10_000);
    host.timers_set = 0;
    host.advance(10_000_000);
    assert!(host.timers_set <= 5, "{} timers in ten idle seconds", host.timers_set);
}

#[test]
fn subsets_of_many_proxies_are_small_and_cover_every_backend_evenly() {
    // In a fleet of full size, with a connection from every proxy to every backend, two attempts in three found no
    // free connection.
    let mut sent = [0; 30];
    for position in 0..300 {
        let mut host =
            host(Config { proxy_count: 300, proxy_index: position, ..Config::example() }, fleet(30));
        let chosen = serve(&mut host, 20, 0, |_| 10_000);
        let used: std::collections::BTreeSet<u32> = chosen.iter().copied().collect();
        assert!(
            used.len() <= 3,
            "proxy {position} uses {} backends, where two and one at the edge suffice",
            used.len()
        );
        chosen.iter().for_each(|b| sent[*b as usize] += 1);
    }
    assert!(sent.iter().all(|n| (140..=260).contains(n)), "expected 200 each: {sent:?}");
}

#[test]
fn a_full_backend_is_paused_briefly_and_not_ejected() {
    // In a fleet of full size, busy backends were ejected by the hundred, and their load overloaded the others.
    let mut host = host(config(vec![class(SideEffects::None)]), fleet(4));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.submit(0, 900_000);
    let full = host.sent_to(id)[0];
    host.end_attempt(id, 0, Outcome::Rejected);
    let retried = host.sent_to(id).len();
    host.end_attempt(id, retried - 1, Outcome::Success);
    assert!(!serve(&mut host, 2, 0, |_| 5_000).contains(&full), "used again immediately");
    assert!(host.logs.iter().all(|l| !l.contains("ejected")), "{:?}", host.logs);
    assert!(serve(&mut host, 60, 0, |_| 5_000).contains(&full), "not used again after a service time");
    // Under churn, a pause of half a second after each rejection excluded half of the fleet, which had capacity
    // again.
    let mut pauses = Vec::new();
    for _ in 0..6 {
        let mut waited = 0;
        loop {
            let id = host.submit(0, 900_000);
            let last = *host.sent_to(id).last().unwrap();
            host.advance(10_000);
            waited += 10_000;
            host.end_attempt(id, 0, if last == full { Outcome::Rejected } else { Outcome::Success });
            if last == full {
                let again = host.sent_to(id).len();
                host.end_attempt(id, again - 1, Outcome::Success);
                break;
            }
        }
        pauses.push(waited);
    }
    // The random choice of the next backend can lengthen a pause, but not shorten it.
    let short_at_first = pauses[..2].iter().any(|p| *p < 80_000);
    assert!(pauses[5] >= 80_000 && short_at_first, "the pauses must grow: {pauses:?}");
}

#[test]
fn many_proxies_reject_low_priority_first_and_at_once_when_the_fleet_is_overloaded() {
    // In a fleet of full size, proxies without an in-flight limit sent every request, and the overload made the
    // machines slow.
    let mut config =
        Config { proxy_count: 100, tenants: vec![Tenant { quota_per_s: 1e6 }], ..Config::example() };
    config.tenants.push(Tenant { quota_per_s: 1e-3 });
    let mut host = host(config, fleet(20));
    let mut answer = |in_flight_us: u64, tenant: usize| {
        // One attempt is in flight for `in_flight_us` of every second, and all hundred proxies count as equally
        // busy, on twenty backends.
        for _ in 0..20 {
            let id = host.submit_for_tenant(0, 990_000, Some(TenantId(0)));
            host.advance(in_flight_us);
            host.end_attempt(id, 0, Outcome::Success);
            host.advance(1_000_000 - in_flight_us);
        }
        let id = host.submit_for_tenant(0, 990_000, Some(TenantId(tenant)));
        let answer = host.requests[&id].answer;
        host.end_attempt(id, 0, Outcome::Success);
        answer
    };
    assert_eq!(answer(300_000, 1), None, "1.5 in flight on each backend, first token of the quota");
    assert_eq!(answer(300_000, 1), None, "1.5 in flight on each backend");
    assert_eq!(answer(600_000, 1), Some("rejected"), "3 in flight on each backend, beyond quota");
    assert_eq!(answer(600_000, 0), None, "3 in flight on each backend, within quota");
}

#[test]
fn a_full_backend_is_used_again_and_the_rest_waits() {
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, fleet(2));
    host.burst(20, 0, 900_000);
    let out = host.in_flight();
    assert!((8..=10).contains(&out.len()), "{} in flight on two backends", out.len());
    let (id, no) = out[0];
    host.advance(20_000);
    let before = host.in_flight().len();
    host.end_attempt(id, no, Outcome::Success);
    assert_eq!(host.in_flight().len(), before, "the freed capacity is used immediately");
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_one_that_never_ran_is_retried() {
    let mut host = host(config(vec![class(SideEffects::NonIdempotent)]), fleet(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.submit(0, 900_000);
    host.end_attempt(id, 0, Outcome::Error);
    assert_eq!(host.requests[&id].answer, Some("failed"));
    let id = host.submit(0, 900_000);
    host.end_attempt(id, 0, Outcome::ConnectFailed);
    assert_eq!(host.sent_to(id).len(), 2);
}

#[test]
fn a_retry_with_an_idempotency_key_stays_in_its_zone_and_window() {
    let keyed = class(SideEffects::IdempotencyKey { scope: KeyScope::Zone, window: Micros(200_000) });
    let mut host = host(config(vec![keyed]), (0..6).map(|i| backend(i, i % 2, 0)).collect());
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.submit(0, 900_000);
    host.end_attempt(id, 0, Outcome::Error);
    let sent = host.sent_to(id);
    assert!(sent.len() == 2 && sent[0] % 2 == sent[1] % 2, "{sent:?}");
    let id = host.submit(0, 900_000);
    host.advance(210_000);
    host.end_attempt(id, 0, Outcome::Error);
    assert_eq!(host.sent_to(id).len(), 1, "retried after its window");
    assert_eq!(host.requests[&id].answer, Some("failed"));
}

/// Serves requests on all backends but one, which answers with errors until it is ejected; returns the id of that
/// one.
fn eject_one(host: &mut Host) -> u32 {
    serve(host, 60, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.submit(0, 900_000);
        let is_failing = host.sent_to(id)[0] == 3;
        host.advance(5_000);
        host.end_attempt(id, 0, if is_failing { Outcome::Error } else { Outcome::Success });
        let again = host.requests[&id].attempts.len();
        host.end_attempt(id, again - 1, Outcome::Success);
        if host.logs.iter().any(|l| l.contains("ejected")) {
            return 3;
        }
    }
    panic!("the backend was never ejected");
}

#[test]
fn an_erring_backend_is_ejected_and_probed_only_by_requests_without_side_effects() {
    let mut host = host(config(vec![class(SideEffects::None), class(SideEffects::NonIdempotent)]), fleet(6));
    let ejected = eject_one(&mut host);
    assert!(!serve(&mut host, 40, 0, |_| 5_000).contains(&ejected), "used during its ejection");
    host.advance(2_000_000);
    assert!(!serve(&mut host, 40, 1, |_| 5_000).contains(&ejected), "probed by a non-idempotent request");
    assert!(
        serve(&mut host, 40, 0, |_| 5_000).contains(&ejected),
        "not probed by a request without side effects"
    );
    assert!(host.logs.iter().any(|l| l.contains("is back")));
}

#[test]
fn when_most_backends_err_they_are_still_used() {
    let mut host = host(config(vec![class(SideEffects::None)]), fleet(4));
    serve(&mut host, 40, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.submit(0, 900_000);
        let is_failing = host.sent_to(id).first().is_some_and(|b| *b != 0);
        host.advance(5_000);
        host.end_attempt(id, 0, if is_failing { Outcome::Error } else { Outcome::Success });
        let no = host.requests[&id].attempts.len().saturating_sub(1);
        host.end_attempt(id, no, Outcome::Success);
    }
    let chosen = serve(&mut host, 80, 0, |_| 5_000);
    assert!(chosen.iter().any(|b| *b != 0), "all requests went to the only backend that does not fail");
}

#[test]
fn a_cold_backend_gets_less_than_its_budget() {
    let mut config = Config { proxy_count: 1, ..Config::example() };
    config.slow_start.floor = 0.1;
    config.slow_start.overload_multiple = 2.0;
    let mut host = host(config, fleet(3));
    serve(&mut host, 200, 0, |_| 20_000);
    let cold = Backend { started_at: Some(host.now), ..backend(9, 0, 0) };
    host.update_endpoints(ListUpdate::Changes, vec![cold]);
    let chosen = serve(&mut host, 100, 0, |_| 20_000); // 2 s, one overload window
    let sent = chosen.iter().filter(|b| **b == 9).count();
    // One warm backend serves about 50 + 17 per second: a tenth of that, doubled, over two seconds, is 27 at most.
    assert!((1..=14).contains(&sent), "{sent} of 100 went to the cold backend");
}

/// Sends a burst to a fleet that has just restarted; returns how many requests were sent in total, and the most that
/// were sent to one backend.
fn burst_on_cold(before: impl Fn(&mut Host)) -> (usize, usize) {
    let mut config = Config { proxy_count: 3, ..Config::example() };
    config.slow_start.floor = 0.1;
    config.slow_start.overload_multiple = 2.0;
    let mut host = host(config, fleet(12));
    serve(&mut host, 100, 0, |_| 20_000);
    before(&mut host);
    let restarted_at = Some(host.now);
    let list = (0..12).map(|i| Backend { started_at: restarted_at, ..backend(i, 0, 0) }).collect();
    host.update_endpoints(ListUpdate::Full, list);
    let mut sent = 0;
    for _ in 0..25 {
        host.burst(4, 0, 900_000);
        host.advance(20_000);
        let out = host.in_flight();
        sent += out.len();
        out.into_iter().for_each(|(id, no)| host.end_attempt(id, no, Outcome::Success));
    }
    let attempts =
        || host.requests.values().flat_map(|r| &r.attempts).filter(|t| Some(t.sent_at) >= restarted_at);
    let most = (0..12).map(|b| attempts().filter(|t| t.backend == BackendId(b)).count()).max();
    (sent, most.unwrap_or(0))
}

#[test]
fn a_burst_does_not_overload_a_cold_backend() {
    // Requests take 20 ms, so a backend serves at most 100 per second. A tenth of that, doubled, over two seconds,
    // divided by three proxies and times 0.8 is 11 for each backend.
    let (sent, most) = burst_on_cold(|_| ());
    assert!(sent >= 1 && (6..=11).contains(&most), "{sent} sent, {most} to one cold backend");
}

/// Guards against two processes of a proxy that each spend its full warm-up budget. Each gets half, until the
/// overload window after the end of the other one is over.
#[test]
fn two_processes_share_the_budget_of_a_cold_backend() {
    let (sent, most) = burst_on_cold(|host| host.handle_event(Event::ProcessCount { count: 2 }));
    assert!(sent >= 1 && most <= 5, "{sent} sent, {most} to one cold backend");
    let (sent, most) = burst_on_cold(|host| {
        host.handle_event(Event::ProcessCount { count: 2 });
        host.handle_event(Event::ProcessCount { count: 1 });
    });
    assert!(sent >= 1 && most <= 5, "{sent} sent, {most} to one backend just after the second process ended");
    let (_, most) = burst_on_cold(|host| {
        host.handle_event(Event::ProcessCount { count: 1 });
        host.advance(2_000_000);
    });
    assert!(most >= 6, "{most} to one backend: the full budget is this process's again");
}

#[test]
fn a_client_retry_waits_behind_first_requests() {
    // Incident ic9a8f4: client retries counted as new requests and, as the newest were served first, made all others
    // late.
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, fleet(1));
    let fill = host.burst(8, 0, 900_000);
    host.advance(5_000);
    let first = host.submit(0, 900_000);
    host.is_client_retry = true;
    let retry = host.submit(0, 900_000);
    host.advance(15_000);
    fill.iter().for_each(|id| host.end_attempt(*id, 0, Outcome::Success));
    let at = |id: &RequestId| host.requests[id].attempts.first().map(|t| t.sent_at);
    assert!(at(&first).is_some());
    assert!(at(&retry).is_none_or(|t| t >= at(&first).unwrap()), "the client retry was sent first");
}

#[test]
fn traffic_beyond_a_quota_leaves_capacity_for_other_tenants() {
    let tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1_000.0 }];
    let mut host = host(Config { proxy_count: 1, tenants, ..Config::example() }, fleet(2));
    let flood: Vec<RequestId> =
        (0..30).map(|_| host.submit_for_tenant(0, 900_000, Some(TenantId(0)))).collect();
    let flooded = flood.iter().filter(|id| !host.sent_to(**id).is_empty()).count();
    let other = host.submit_for_tenant(0, 900_000, Some(TenantId(1)));
    assert!(flooded <= 6, "{flooded} of the flood were sent");
    assert_eq!(host.sent_to(other).len(), 1, "the other tenant must not wait behind the flood");
}

#[test]
fn in_overload_requests_of_higher_priority_weight_are_served_first() {
    let high = Class { priority_weight: 8.0, ..class(SideEffects::None) };
    let mut host = host(Config { proxy_count: 1, ..config(vec![class(SideEffects::None), high]) }, fleet(1));
    let ids: Vec<RequestId> = (0..60).map(|n| host.submit(n % 2, 900_000)).collect();
    for _ in 0..6 {
        host.serve_all(60_000);
    }
    host.advance(900_000);
    let served =
        |c: usize| ids.iter().skip(c).step_by(2).filter(|i| host.requests[i].answer == Some("served"));
    let (low, high) = (served(0).count(), served(1).count());
    assert!(high > low, "{high} requests of high and {low} of low priority weight were served");
}

fn count_in_own_zone(cost: f64) -> usize {
    let mut config = Config::example();
    config.goal.cross_zone_cost = cost;
    let mut host = host(config, (0..9).map(|i| backend(i, i % 3, 0)).collect());
    serve(&mut host, 300, 0, |_| 10_000).iter().filter(|b| *b % 3 == 0).count()
}

#[test]
fn with_a_cross_zone_cost_traffic_stays_in_its_zone() {
    assert!(count_in_own_zone(0.05) >= 270, "{} of 300 stayed in the zone", count_in_own_zone(0.05));
    assert!(
        (70..=130).contains(&count_in_own_zone(0.0)),
        "{} of 300 stayed in the zone without a cost",
        count_in_own_zone(0.0)
    );
}

#[test]
fn a_zone_short_of_backends_sends_its_surplus_to_other_zones() {
    // The proxy's zone has one of seven backends, and the proxies of three zones bring a third of the traffic each:
    // 3/7 may stay.
    let mut config = Config::example();
    config.goal.cross_zone_cost = 0.05;
    let list = (0..7).map(|i| backend(i, if i == 0 { 0 } else { 1 + i % 2 }, 0)).collect();
    let mut host = host(config, list);
    let near = serve(&mut host, 400, 0, |_| 10_000).iter().filter(|b| **b == 0).count();
    assert!((120..=220).contains(&near), "{near} of 400 stayed on the only backend of the zone");
}

#[test]
fn discovery_is_watched_at_once_and_again_after_a_failure() {
    let config = Config {
        discovery: DiscoveryMode::Subscribe { poll_within: Micros(10_000_000) },
        ..Config::example()
    };
    let mut host = Host::new(config, 3);
    host.update_endpoints(ListUpdate::Cached, fleet(2));
    assert_eq!(host.watch_requests, 1);
    host.update_endpoints(ListUpdate::Changes, fleet(3));
    host.advance(8_000_000);
    assert_eq!(host.watch_requests, 1, "a live subscription is not requested again");
    host.handle_event(Event::EndpointsUpdated { update: ListUpdate::Failed, backends: Vec::new() });
    host.advance(400_000);
    assert_eq!(host.watch_requests, 2);
    host.advance(6_000_000);
    assert_eq!(host.watch_requests, 3, "an unanswered watch request is repeated");
}

#[test]
fn a_started_stream_is_neither_timed_out_nor_retried() {
    let mut host = host(config(vec![class(SideEffects::None)]), fleet(2));
    let id = host.submit(0, 300_000);
    host.start_stream(id, 0);
    host.advance(2_000_000);
    assert_eq!(host.requests[&id].answer, None);
    assert_eq!(host.sent_to(id).len(), 1);
}

#[test]
fn events_with_unknown_ids_change_nothing() {
    let run = |with_unknown_ids: bool| {
        let mut host = host(config(vec![class(SideEffects::None)]), fleet(3));
        if with_unknown_ids {
            host.send_unknown_ids(RequestId(77), AttemptNo(3), TimerToken(u64::MAX));
        }
        serve(&mut host, 50, 0, |_| 10_000)
    };
    assert_eq!(run(false), run(true));
}

/// Guards against uploads that count as work or run out of time before their last byte. Work and time count from the
/// last byte on, and there is no second attempt.
#[test]
fn an_upload_counts_as_work_and_is_timed_from_its_last_byte() {
    let config = || Config {
        proxy_count: 1,
        ..config(vec![class(SideEffects::NonIdempotent), class(SideEffects::None)])
    };
    let mut host = host(config(), fleet(1));
    serve(&mut host, 60, 1, |_| 20_000);
    host.body_incomplete = true;
    let uploads: Vec<RequestId> = (0..12).map(|_| host.submit(0, 60_000_000)).collect();
    host.body_incomplete = false;
    assert!(uploads.iter().all(|id| host.sent_to(*id).len() == 1), "an incomplete upload is no work");
    host.advance(5_000_000);
    let is_open = |host: &Host, id: RequestId| host.requests[&id].answer.is_none();
    assert!(uploads.iter().all(|id| is_open(&host, *id)), "incomplete uploads do not time out");
    let other = host.submit(1, 900_000);
    assert_eq!(host.sent_to(other).len(), 1, "the backend does not count as silent");
    host.end_attempt(other, 0, Outcome::Success);
    for id in &uploads {
        host.handle_event(Event::BodyReceived { request: *id, time_left: Micros(900_000) });
    }
    let late = host.submit(1, 900_000);
    assert!(host.sent_to(late).is_empty(), "complete uploads are work, more than the backend's limit");
    host.end_attempt(uploads[0], 0, Outcome::ConnectFailed);
    assert!(
        !is_open(&host, uploads[0]) && host.sent_to(uploads[0]).len() == 1,
        "it cannot be retried, as its body is consumed"
    );
    host.advance(2_000_000);
    assert!(uploads.iter().all(|id| !is_open(&host, *id)), "complete uploads time out");
}
