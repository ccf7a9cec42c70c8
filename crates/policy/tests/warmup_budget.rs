//! Tests that all proxies together send restarted backends no more than the overload limit during bursts, although no
//! proxy knows what the others send.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;
use common::{backend, class, Host};
use lotusdeck_policy::*;

const BACKENDS: u32 = 12;
/// Number of backends that restart together.
const COLD: u32 = 4;
/// Load before the burst, as a fraction of the warm fleet's capacity.
const LOAD: f64 = 0.3;
/// The time step of the test.
const STEP: Micros = Micros(20_000);

/// An attempt that a backend is processing.
struct Job {
    host: usize,
    request: RequestId,
    attempt: usize,
    backend: u32,
    /// The remaining work, as a fraction of a request.
    remaining_work: f64,
}

/// A fleet of proxies that share only the settings and the endpoint list, in front of backends that divide their
/// processor evenly among their attempts.
struct Fleet {
    hosts: Vec<Host>,
    /// Requests per second that a warm backend serves.
    capacity: f64,
    restarted_at: Option<Time>,
    jobs: Vec<Job>,
    /// When each attempt was sent, and to which backend.
    sends: Vec<(Time, u32)>,
    /// By proxy: when each request arrived, and when each attempt was sent.
    arrival_times: Vec<Vec<Time>>,
    send_times: Vec<Vec<Time>>,
    /// Requests due to arrive, and the state of the random generator that assigns them to proxies.
    arrivals_due: f64,
    rng_state: u64,
}

impl Fleet {
    fn new(proxies: u32, capacity: f64, seed: u64) -> Fleet {
        let objective = Micros::from_secs((2.0 / capacity).max(0.4));
        let host = |position: u32| {
            let classes = vec![Class { latency_objective: objective, ..class(SideEffects::None) }];
            let config = Config { proxy_count: proxies, proxy_index: position, classes, ..Config::example() };
            let mut host = Host::new(config, seed * 10_007 + u64::from(position));
            host.update_endpoints(ListUpdate::Full, (0..BACKENDS).map(Fleet::entry).collect());
            host
        };
        let hosts = (0..proxies).map(host).collect();
        let (arrival_times, send_times) =
            (vec![Vec::new(); proxies as usize], vec![Vec::new(); proxies as usize]);
        let (jobs, sends) = (Vec::new(), Vec::new());
        Fleet {
            hosts,
            capacity,
            restarted_at: None,
            jobs,
            sends,
            arrival_times,
            send_times,
            arrivals_due: 0.0,
            rng_state: seed,
        }
    }

    /// Replaces a proxy by a new process that knows only the endpoint list.
    fn replace(&mut self, number: usize) {
        let old = &self.hosts[number];
        let mut new = Host::new(old.config.clone(), old.now.0 + number as u64);
        new.now = old.now;
        new.update_endpoints(ListUpdate::Full, old.endpoints.values().cloned().collect());
        self.hosts[number] = new;
        self.jobs.retain(|job| job.host != number);
    }

    /// Builds a list entry whose order key is spread like a hash of an address.
    fn entry(id: u32) -> Backend {
        Backend {
            order_key: u64::from(id + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
            ..backend(id, 0, 0)
        }
    }

    /// Restarts some backends, and notifies every proxy immediately.
    fn restart(&mut self) {
        self.restarted_at = Some(self.hosts[0].now);
        for host in &mut self.hosts {
            let cold =
                (0..COLD).map(|id| Backend { started_at: self.restarted_at, ..Fleet::entry(id) }).collect();
            host.update_endpoints(ListUpdate::Changes, cold);
        }
    }

    /// Returns how many requests per second a backend can serve at the time `at`.
    fn capacity_at(&self, id: u32, at: Time) -> f64 {
        let config = &self.hosts[0].config;
        let Some(restarted_at) = self.restarted_at.filter(|_| id < COLD) else { return self.capacity };
        let ramp = ((at - restarted_at).secs() / config.slow_start.duration.secs()).min(1.0);
        self.capacity * (config.slow_start.floor + (1.0 - config.slow_start.floor) * ramp)
    }

    /// Advances the clock by a step, with requests at `rate` per second over the fleet and `extra` more at each
    /// proxy.
    fn step(&mut self, rate: f64, extra: usize) {
        let mut arrivals = vec![extra; self.hosts.len()];
        self.arrivals_due += rate * STEP.secs();
        while self.arrivals_due >= 1.0 {
            self.arrivals_due -= 1.0;
            self.rng_state = self
                .rng_state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let at = (self.rng_state >> 33) as usize % arrivals.len();
            arrivals[at] += 1;
        }
        for (number, count) in arrivals.into_iter().enumerate() {
            let now = self.hosts[number].now;
            self.arrival_times[number].extend(std::iter::repeat_n(now, count));
            self.hosts[number].burst(count, 0, 5_000_000);
            self.hosts[number].advance(STEP.0);
            self.collect_sent(number);
        }
        self.process();
        for host in &mut self.hosts {
            host.requests.retain(|_, r| r.answer.is_none() || r.attempts.iter().any(|t| t.outcome.is_none()));
        }
    }

    /// Hands the backends the attempts that the proxy has sent since the last call.
    fn collect_sent(&mut self, number: usize) {
        let host = &self.hosts[number];
        for (request, attempt) in host.in_flight() {
            let known = |j: &Job| (j.host, j.request, j.attempt) == (number, request, attempt);
            if !self.jobs.iter().any(known) {
                let sent = &host.requests[&request].attempts[attempt];
                self.sends.push((sent.sent_at, sent.backend.0));
                self.send_times[number].push(sent.sent_at);
                self.jobs.push(Job {
                    host: number,
                    request,
                    attempt,
                    backend: sent.backend.0,
                    remaining_work: 1.0,
                });
            }
        }
    }

    /// Lets the backends process their attempts for a step, and answers those that are done.
    fn process(&mut self) {
        let now = self.hosts[0].now;
        let open = |j: &Job| self.hosts[j.host].requests[&j.request].attempts[j.attempt].outcome.is_none();
        self.jobs.retain(open);
        let mut in_flight = [0.0; BACKENDS as usize];
        self.jobs.iter().for_each(|j| in_flight[j.backend as usize] += 1.0);
        let work_done: Vec<f64> = (0..BACKENDS)
            .map(|id| self.capacity_at(id, now) * STEP.secs() / in_flight[id as usize])
            .collect();
        self.jobs.iter_mut().for_each(|j| j.remaining_work -= work_done[j.backend as usize]);
        let done = self.jobs.extract_if(.., |j| j.remaining_work <= 0.0);
        done.for_each(|j| self.hosts[j.host].end_attempt(j.request, j.attempt, Outcome::Success));
    }
}

/// The window in which the most requests were sent in relation to the overload limit, and that limit.
struct Worst {
    sent: usize,
    limit: f64,
    /// Total sent to the cold backends, as a fraction of what the settings allow.
    used: f64,
}

/// Restarts some backends and sends bursts to all proxies at once until the backends are warm; returns the worst
/// window.
fn worst_window(proxies: u32, capacity: f64, seed: u64) -> Worst {
    let mut fleet = Fleet::new(proxies, capacity, seed);
    let rate = LOAD * capacity * f64::from(BACKENDS);
    for _ in 0..500 {
        fleet.step(rate, 0);
    }
    fleet.restart();
    fleet.sends.clear();
    let start = fleet.hosts[0].now;
    let config = fleet.hosts[0].config.clone();
    for step in 0..config.slow_start.duration.0 / STEP.0 {
        // From time to time, a burst that reaches every in-flight limit.
        let extra = if step % 45 == 0 { 2 * BACKENDS as usize } else { 0 };
        fleet.step(2.0 * rate, extra);
    }
    let mut worst = Worst { sent: 0, limit: f64::MAX, used: 0.0 };
    let mut total = 0;
    for id in 0..COLD {
        let sends_to_backend = fleet.sends.iter().filter(|s| s.1 == id && s.0 >= start);
        let mut times: Vec<Time> = sends_to_backend.map(|s| s.0).collect();
        times.sort();
        total += times.len();
        for (first, from) in times.iter().enumerate() {
            let sent =
                times[first..].iter().take_while(|t| **t - *from < config.slow_start.overload_window).count();
            // Uses the capacity at the start of the window: the increase during the window must not be relied on.
            let allowed = config.slow_start.overload_multiple
                * fleet.capacity_at(id, *from)
                * config.slow_start.overload_window.secs();
            let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
            if sent as f64 / limit > worst.sent as f64 / worst.limit {
                (worst.sent, worst.limit) = (sent, limit);
            }
        }
    }
    let windows = config.slow_start.duration.secs() / config.slow_start.overload_window.secs();
    let mean = config.slow_start.overload_multiple * (1.0 + config.slow_start.floor) / 2.0
        * capacity
        * config.slow_start.overload_window.secs();
    worst.used = total as f64 / f64::from(COLD) / (windows * mean);
    worst
}

/// Checks the limit for small backends, which are allowed less than one request from each proxy in a window, and for
/// large ones, which are allowed many.
fn check_limit(proxies: u32) {
    for capacity in [1.0, 4.0, 40.0] {
        for seed in [1, 2, 3] {
            let Worst { sent, limit, used } = worst_window(proxies, capacity, seed);
            println!(
                "{proxies} proxies, {capacity}/s, seed {seed}: {sent} sent, limit {limit:.1}, used {used:.2}"
            );
            assert!(sent as f64 <= limit, "{sent} sent in a window, limit {limit:.1}");
        }
    }
}

#[test]
fn six_proxies_together_keep_to_the_limit() {
    check_limit(6);
}

#[test]
fn thirty_proxies_together_keep_to_the_limit() {
    check_limit(30);
}

#[test]
fn three_hundred_proxies_together_keep_to_the_limit() {
    check_limit(300);
}

/// A proxy counts as idle if it sends nothing for this time while at least `MIN_REQUESTS` requests arrive.
const MAX_IDLE: Micros = Micros(4_000_000);
const MIN_REQUESTS: usize = 15;

/// Guards against new proxies that send nothing while some backends are cold, as they have no estimates yet. Some
/// backends restart under one and a half times the load while all proxies are replaced, a tenth at a time.
#[test]
fn no_proxy_is_idle_while_backends_and_proxies_are_replaced() {
    for (proxies, seed) in [(30, 1), (30, 2), (100, 3)] {
        let mut fleet = Fleet::new(proxies, 200.0, seed);
        let rate = LOAD * 200.0 * f64::from(BACKENDS);
        for step in 0..750 {
            if step == 100 {
                fleet.restart();
            }
            let tenth = step / 25 % 10;
            if step >= 100 && step % 25 == 0 && step < 350 {
                (0..proxies as usize).filter(|p| p % 10 == tenth).for_each(|p| fleet.replace(p));
            }
            let burst = if (100..250).contains(&step) { 1.5 } else { 1.0 };
            fleet.step(rate * burst, 0);
        }
        let end = fleet.hosts[0].now;
        let idle = |number: usize| {
            let ends = fleet.send_times[number].iter().copied().chain([end]);
            let mut last = Time(1_000_000_000);
            ends.into_iter().any(|at| {
                let from = std::mem::replace(&mut last, at);
                let requests = fleet.arrival_times[number].iter().filter(|t| **t > from && **t < at).count();
                at - from >= MAX_IDLE && requests >= MIN_REQUESTS
            })
        };
        let idle: Vec<usize> = (0..proxies as usize).filter(|p| idle(*p)).collect();
        let requests: usize = fleet.arrival_times.iter().map(Vec::len).sum();
        let sends: usize = fleet.send_times.iter().map(Vec::len).sum();
        println!("{proxies} proxies, seed {seed}: {sends} sends for {requests} requests, idle: {idle:?}");
        assert!(idle.is_empty(), "idle proxies: {idle:?}");
        assert!(sends * 20 >= requests * 19, "{sends} sends for {requests} requests");
    }
}
