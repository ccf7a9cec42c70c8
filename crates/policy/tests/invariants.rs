//! Property tests of the rules over generated sequences of events; `common::Host` checks each action.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;
use common::{backend, class, Host};
use lotusdeck_policy::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Step {
    Submit(usize, u64, Option<usize>),
    EndAttempt(usize, Outcome),
    StartStream(usize),
    PauseAnswer(usize),
    ResumeAnswer(usize),
    Disconnect(usize),
    Advance(u64),
    ChangeBackend(u32, BackendState, bool),
    UpdateList(u32, ListUpdate),
    UnknownIds(u64, u32, u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        8 => Just(Outcome::Success),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::NeverSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        3 => Just(BackendState::Ready),
        1 => Just(BackendState::Draining),
        1 => Just(BackendState::Removed)
    ];
    let update = prop_oneof![Just(ListUpdate::Full), Just(ListUpdate::Cached), Just(ListUpdate::Failed)];
    prop_oneof![
        10 => (0..6usize, 0..2_000_000u64, proptest::option::of(0..2usize)).prop_map(|(c, l, t)| Step::Submit(c, l, t)),
        8 => (0..64usize, outcome()).prop_map(|(n, o)| Step::EndAttempt(n, o)),
        1 => (0..64usize).prop_map(Step::StartStream),
        2 => (0..64usize).prop_map(Step::PauseAnswer),
        1 => (0..64usize).prop_map(Step::ResumeAnswer),
        1 => (0..64usize).prop_map(Step::Disconnect),
        8 => (0..150_000u64).prop_map(Step::Advance),
        2 => (0..8u32, state, any::<bool>()).prop_map(|(b, s, r)| Step::ChangeBackend(b, s, r)),
        1 => (0..256u32, update).prop_map(|(m, u)| Step::UpdateList(m, u)),
        1 => (0..200u64, 0..9u32, any::<u64>()).prop_map(|(r, a, t)| Step::UnknownIds(r, a, t)),
    ]
}

fn config(bits: u32) -> Config {
    let window = Micros(300_000);
    let mut config = Config::example();
    config.classes = vec![
        class(SideEffects::None),
        Class { late_value_factor: 0.3, priority_weight: 5.0, ..class(SideEffects::NonIdempotent) },
        class(SideEffects::IdempotencyKey { scope: KeyScope::Zone, window }),
        class(SideEffects::IdempotencyKey { scope: KeyScope::Cell, window }),
        class(SideEffects::IdempotencyKey { scope: KeyScope::All, window }),
        Class { latency_objective: Micros(100_000), ..class(SideEffects::None) },
    ];
    config.tenants = vec![Tenant { quota_per_s: 20.0 }, Tenant { quota_per_s: 5.0 }];
    config.goal.worst_class = 0.3;
    config.attempts.allow_hedging = bits & 1 == 0;
    config.proxy_count = if bits & 2 == 0 { 3 } else { 40 };
    config.attempts.allow_cancel = bits & 4 == 0;
    config.goal.cross_zone_cost = if bits & 16 == 0 { 0.05 } else { 0.0 };
    if bits & 8 == 0 {
        config.discovery = DiscoveryMode::Subscribe { poll_within: Micros(2_000_000) };
    }
    config
}

/// Runs the steps and returns every action as text, for the test of determinism.
fn run_steps(bits: u32, seed: u64, steps: &[Step]) -> Vec<String> {
    let mut host = Host::new(config(bits), seed);
    let mut trace = Vec::new();
    let fleet = |mask: u32| (0..8).filter(|i| mask >> i & 1 == 1).map(|i| backend(i, i % 3, i % 2)).collect();
    host.update_endpoints(ListUpdate::Cached, fleet(0b0111_1011));
    for step in steps {
        match *step {
            Step::Submit(c, left, t) => {
                host.submit_for_tenant(c, left, t.map(TenantId));
            }
            Step::EndAttempt(n, o) => {
                if let Some((id, no)) = nth(&host.in_flight(), n) {
                    host.end_attempt(id, no, o);
                }
            }
            Step::StartStream(n) => {
                if let Some((id, no)) = nth(&host.in_flight(), n) {
                    host.start_stream(id, no);
                }
            }
            Step::PauseAnswer(n) => {
                if let Some((id, no)) = nth(&host.in_flight(), n) {
                    host.pause_answer(id, no);
                }
            }
            Step::ResumeAnswer(n) => {
                if let Some((id, no)) = nth(&host.in_flight(), n) {
                    host.resume_answer(id, no);
                }
            }
            Step::Disconnect(n) => {
                let open: Vec<RequestId> =
                    host.requests.iter().filter(|(_, r)| r.answer.is_none()).map(|(id, _)| *id).collect();
                if let Some(id) = nth(&open, n) {
                    host.requests.get_mut(&id).unwrap().answer = Some("disconnected");
                    host.handle_event(Event::ClientDisconnected { request: id });
                }
            }
            Step::Advance(span) => host.advance(span),
            Step::ChangeBackend(b, state, restarted) => {
                let restarted_at = restarted.then_some(host.now);
                host.update_endpoints(
                    ListUpdate::Changes,
                    vec![Backend { state, started_at: restarted_at, ..backend(b, b % 3, b % 2) }],
                );
            }
            Step::UpdateList(_, ListUpdate::Failed) => host.update_endpoints(ListUpdate::Failed, Vec::new()),
            Step::UpdateList(mask, update) => host.update_endpoints(update, fleet(mask)),
            Step::UnknownIds(r, a, t) => {
                host.send_unknown_ids(RequestId(1_000_000 + r), AttemptNo(a), TimerToken(t));
            }
        }
        trace.push(format!("{:?}", host.last_actions));
    }
    host.advance(3_000_000);
    let answered = |r: &common::OpenRequest| r.answer.is_some() || r.streaming;
    assert!(host.requests.values().all(answered), "a request got no answer");
    trace
}

/// Returns an item of the list, chosen by `n`, unless the list is empty.
fn nth<T: Copy>(list: &[T], n: usize) -> Option<T> {
    list.get(n % list.len().max(1)).copied()
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn rules_hold_over_generated_events() {
    let all = (0..32u32, any::<u64>(), proptest::collection::vec(step(), 1..250));
    let run = runner(300).run(&all, |(bits, seed, steps)| {
        run_steps(bits, seed, &steps);
        Ok(())
    });
    run.unwrap();
}

#[test]
fn the_same_events_result_in_the_same_actions() {
    let all = (0..32u32, any::<u64>(), proptest::collection::vec(step(), 1..120));
    let run = runner(40).run(&all, |(bits, seed, steps)| {
        prop_assert_eq!(run_steps(bits, seed, &steps), run_steps(bits, seed, &steps));
        Ok(())
    });
    run.unwrap();
}
