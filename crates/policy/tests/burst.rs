//! A burst at all proxies of a fleet at once.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;
use common::{backend, class, Host};
use lotusdeck_policy::*;
use std::collections::{BTreeMap, VecDeque};

const PROXIES: u32 = 100;
const BACKENDS: u32 = 60;
/// Requests that arrive at each proxy at once.
const BURST: usize = 20;
const STEP: Micros = Micros(5_000);
const TIME_LEFT: u64 = 1_000_000;
/// Steps between two requests to a proxy, apart from the burst.
const STEPS_PER_REQUEST: u64 = 40;
/// No proxy may reject this many requests over this time without an attempt between them. This is stricter than the
/// target, which lets at most one proxy in ten reject everything for 4 s on end.
const MAX_REJECTED: usize = 15;
const MAX_SILENCE: Micros = Micros(4_000_000);

/// An attempt that a backend has not answered yet.
struct Received {
    proxy: usize,
    request: RequestId,
    attempt: usize,
}

/// A backend that processes requests one at a time, in the order of arrival.
#[derive(Default)]
struct Backlog {
    queue: VecDeque<Received>,
    /// Time spent on the first of them.
    spent: Micros,
}

/// A proxy, and what it has rejected since its last attempt.
struct Proxy {
    host: Host,
    /// The open requests, and how many of their attempts were sent.
    sent: BTreeMap<RequestId, usize>,
    rejected: usize,
    last_attempt_at: Time,
    longest_rejection: Micros,
}

impl Proxy {
    fn new(index: u32) -> Proxy {
        let classes = vec![class(SideEffects::None)];
        let config = Config { proxy_count: PROXIES, proxy_index: index, classes, ..Config::example() };
        let mut host = Host::new(config, u64::from(index));
        host.update_endpoints(ListUpdate::Full, (0..BACKENDS).map(|id| backend(id, 0, 0)).collect());
        let last_attempt_at = host.now;
        Proxy { host, sent: BTreeMap::new(), rejected: 0, last_attempt_at, longest_rejection: Micros(0) }
    }

    fn submit(&mut self, count: usize) {
        for _ in 0..count {
            let id = self.host.submit(0, TIME_LEFT);
            self.sent.insert(id, 0);
        }
    }

    /// Returns the attempts that were sent since the last call, with their backends.
    fn take_sent(&mut self, proxy: usize) -> Vec<(usize, Received)> {
        let mut out = Vec::new();
        for (&request, sent) in &mut self.sent {
            let attempts = &self.host.requests[&request].attempts;
            for (attempt, tried) in attempts.iter().enumerate().skip(*sent) {
                out.push((tried.backend.0 as usize, Received { proxy, request, attempt }));
            }
            *sent = attempts.len();
        }
        if !out.is_empty() {
            (self.rejected, self.last_attempt_at) = (0, self.host.now);
        }
        out
    }

    fn count_rejections(&mut self) {
        let requests = &self.host.requests;
        let answered = |id: &RequestId| requests[id].answer.is_some();
        let rejected = self.sent.iter().filter(|(id, sent)| answered(id) && **sent == 0).count();
        self.sent.retain(|id, _| !answered(id));
        self.rejected += rejected;
        if self.rejected >= MAX_REJECTED {
            let silence = self.host.now - self.last_attempt_at;
            self.longest_rejection = self.longest_rejection.max(silence);
        }
    }
}

struct Fleet {
    proxies: Vec<Proxy>,
    backends: Vec<Backlog>,
    /// Time that a backend takes for a request.
    work: Micros,
    steps: u64,
}

impl Fleet {
    fn new(work: Micros) -> Fleet {
        let proxies = (0..PROXIES).map(Proxy::new).collect();
        let backends = (0..BACKENDS).map(|_| Backlog::default()).collect();
        Fleet { proxies, backends, work, steps: 0 }
    }

    /// Runs for `span`, with a burst of `burst` requests at each proxy in the first step.
    fn play(&mut self, span: Micros, burst: usize) {
        for step in 0..span.0 / STEP.0 {
            for (index, proxy) in self.proxies.iter_mut().enumerate() {
                proxy.host.advance(STEP.0);
                let is_due = (self.steps + 7 * index as u64).is_multiple_of(STEPS_PER_REQUEST);
                proxy.submit(usize::from(is_due) + if step == 0 { burst } else { 0 });
                for (backend, received) in proxy.take_sent(index) {
                    self.backends[backend].queue.push_back(received);
                }
                proxy.count_rejections();
            }
            self.serve();
            self.steps += 1;
        }
    }

    fn serve(&mut self) {
        for backend in &mut self.backends {
            backend.spent.0 += STEP.0;
            while backend.spent >= self.work {
                let Some(received) = backend.queue.pop_front() else { break };
                backend.spent.0 -= self.work.0;
                self.proxies[received.proxy].host.end_attempt(
                    received.request,
                    received.attempt,
                    Outcome::Success,
                );
            }
            if backend.queue.is_empty() {
                backend.spent = Micros(0);
            }
        }
    }
}

/// Guards against proxies that keep rejecting everything after a burst because their estimate of the load is out of
/// date.
#[test]
fn after_a_burst_no_proxy_rejects_all_that_it_gets_for_four_seconds() {
    for warm_up_s in [0, 1, 10] {
        for work_ms in [30, 60, 100] {
            let mut fleet = Fleet::new(Micros(work_ms * 1_000));
            fleet.play(Micros(warm_up_s * 1_000_000), 0);
            fleet.play(Micros(12_000_000), BURST);
            let is_silent = |proxy: &&Proxy| proxy.longest_rejection >= MAX_SILENCE;
            let silent = fleet.proxies.iter().filter(is_silent).count();
            let longest = fleet.proxies.iter().map(|proxy| proxy.longest_rejection).max();
            println!(
                "burst after {warm_up_s} s, {work_ms} ms a request: {silent} proxies silent, {longest:?} at the longest"
            );
            assert_eq!(silent, 0, "of {PROXIES}, burst after {warm_up_s} s, {work_ms} ms a request");
        }
    }
}
