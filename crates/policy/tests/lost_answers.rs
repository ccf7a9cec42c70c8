//! Tests of backends that lose some of their answers.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;
use common::{backend, class, Host};
use lotusdeck_policy::*;
use std::collections::BTreeMap;

const BACKENDS: u32 = 3;
/// Each backend loses the answer to one in this many requests.
const LOST_EVERY: u32 = 4;
const TIME_LEFT: u64 = 400_000;

/// A fleet whose backends each lose every fourth answer, and a client that sends one request after the other.
struct LossyFleet {
    host: Host,
    received: BTreeMap<u32, u32>,
    /// The time that an answer takes.
    latency: Micros,
}

impl LossyFleet {
    fn new(seed: u64, latency: Micros) -> LossyFleet {
        let class =
            Class { latency_objective: Micros(900_000), late_value_factor: 0.5, ..class(SideEffects::None) };
        let attempts = AttemptLimits { max_attempts: 4, allow_cancel: true, allow_hedging: true };
        let config = Config { proxy_count: 1, classes: vec![class], attempts, ..Config::example() };
        let mut host = Host::new(config, seed);
        host.update_endpoints(ListUpdate::Full, (0..BACKENDS).map(|id| backend(id, 0, 0)).collect());
        LossyFleet { host, received: BTreeMap::new(), latency }
    }

    /// Sends a request and waits for its end; returns whether it was served.
    fn is_next_served(&mut self) -> bool {
        let id = self.host.submit(0, TIME_LEFT);
        let mut is_lost: Vec<bool> = Vec::new();
        loop {
            for to in self.host.sent_to(id).iter().skip(is_lost.len()) {
                let count = self.received.entry(*to).or_default();
                *count += 1;
                is_lost.push(count.is_multiple_of(LOST_EVERY));
            }
            for (attempt, _) in is_lost.iter().enumerate().filter(|(_, is_lost)| !**is_lost) {
                if self.host.now >= self.host.requests[&id].attempts[attempt].sent_at + self.latency {
                    self.host.end_attempt(id, attempt, Outcome::Success);
                }
            }
            if let Some(answer) = self.host.requests[&id].answer {
                for (id, attempt) in self.host.in_flight() {
                    self.host.end_attempt(id, attempt, Outcome::Cancelled);
                }
                return answer == "served";
            }
            self.host.advance(1_000);
        }
    }

    /// Sends this many requests; returns how many were not served.
    fn count_lost(&mut self, requests: u32) -> usize {
        (0..requests).filter(|_| !self.is_next_served()).count()
    }
}

/// Guards against requests that are given up with most of their time left, because each backend has lost one of
/// their answers or was ejected for one lost answer.
#[test]
fn with_every_fourth_answer_lost_at_most_one_request_in_thirty_fails() {
    let mut lost_in_total = 0;
    for latency_ms in [1, 3, 10, 30] {
        for seed in 0..20 {
            let mut fleet = LossyFleet::new(seed, Micros(latency_ms * 1_000));
            let lost_at_first = fleet.count_lost(30);
            let lost = fleet.count_lost(30);
            lost_in_total += lost;
            assert!(
                lost_at_first > 3,
                "some are lost before the loss is known: {lost_at_first}, {latency_ms} ms, seed {seed}"
            );
            assert!(lost < 2, "{lost} of 30 were lost, {latency_ms} ms, seed {seed}");
        }
    }
    println!("{lost_in_total} of 2,400 lost once the loss was known");
}

/// Guards against a sound backend that gets no more requests, and whose attempts count as lost, since it streams long
/// answers.
#[test]
fn a_backend_that_streams_old_answers_is_not_silent() {
    const SERVICE_TIME: u64 = 20_000;
    let classes = vec![Class { latency_objective: Micros(1_000_000), ..class(SideEffects::NonIdempotent) }];
    let mut host = Host::new(Config { proxy_count: 1, classes, ..Config::example() }, 5);
    host.update_endpoints(ListUpdate::Full, (0..2).map(|id| backend(id, 0, 0)).collect());
    for _ in 0..60 {
        host.submit(0, 2_000_000);
        host.serve_all(SERVICE_TIME);
    }
    let streams = host.burst(6, 0, 60_000_000);
    host.advance(1_000);
    streams.iter().for_each(|id| host.start_stream(*id, 0));
    let streamed_by = |backend: u32| streams.iter().any(|id| host.sent_to(*id)[0] == backend);
    assert!(streamed_by(0) && streamed_by(1));
    host.advance(SERVICE_TIME * 40);
    let mut reached = Vec::new();
    for _ in 0..12 {
        let id = host.submit(0, 2_000_000);
        reached.extend(host.sent_to(id).first().copied());
        host.advance(SERVICE_TIME);
        host.end_attempt(id, 0, Outcome::Success);
    }
    assert_eq!(reached.len(), 12, "each is sent at once");
    assert!(reached.contains(&0) && reached.contains(&1), "{reached:?}");
    for id in streams {
        host.end_attempt(id, 0, Outcome::Success);
        assert_eq!(host.requests[&id].answer, Some("served"));
    }
}
