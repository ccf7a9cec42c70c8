//! What a decision costs as the fleet grows: a request and its answer together, and a change of one line of the list.
//! `cargo bench -p lotusdeck-policy`; results in docs/measurements.md.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use lotusdeck_policy::*;

const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];

fn line(id: u32) -> Backend {
    Backend {
        id: BackendId(id),
        mark: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
        kind: KindId(id % 3),
        state: BackendState::Ready,
        ..Backend::default()
    }
}

/// One proxy of three, warm, with a third of a request held for each backend.
struct Bench {
    balancer: Balancer,
    now: Time,
    next: u64,
    out: std::collections::VecDeque<(RequestId, Time)>,
    actions: Vec<Action>,
}

impl Bench {
    fn new(size: u32) -> Bench {
        let config = Config { proxies: 3, ..Config::example() };
        let balancer = Balancer::new(config, 7).expect("sound");
        let now = Time(1_000_000_000);
        let mut b = Bench { balancer, now, next: 0, out: Default::default(), actions: Vec::new() };
        let backends = (0..size).map(line).collect();
        b.tell(Event::Members { update: ListUpdate::Full, backends });
        (0..size / 3 + 1).for_each(|_| b.ask());
        (0..size * 2).for_each(|_| b.turn());
        b
    }

    fn tell(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    fn ask(&mut self) {
        self.next += 1;
        let request = RequestId(self.next);
        let (class, time_left) = (ClassId(0), Micros(5_000_000));
        let (tenant, work_hint, repeat, uploading) = (None, None, false, false);
        let arrival = Arrival { request, class, tenant, time_left, work_hint, repeat, uploading };
        self.tell(Event::Request(arrival));
        if self.actions.iter().any(|a| matches!(a, Action::Dispatch { .. })) {
            self.out.push_back((request, self.now));
        }
    }

    /// The oldest request is answered and another one comes.
    fn turn(&mut self) {
        self.now = self.now + Micros(30);
        if let Some((request, sent)) = self.out.pop_front() {
            let (attempt, outcome, latency) = (AttemptNo(0), Outcome::Ok, self.now - sent);
            let end = AttemptEnd { request, attempt, outcome, latency, settled: true, spent: false };
            self.tell(Event::AttemptEnded(end));
        }
        self.ask();
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("request and answer");
    for size in SIZES {
        let mut bench = Bench::new(size);
        group.bench_function(BenchmarkId::from_parameter(size), |b| b.iter(|| bench.turn()));
    }
    group.finish();
    let mut group = c.benchmark_group("one line of the list");
    for size in SIZES {
        let mut bench = Bench::new(size);
        let mut n = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                n += 1;
                let state = if n % 2 == 0 { BackendState::Ready } else { BackendState::Draining };
                let backends = vec![Backend { state, ..line(n / 2 % size) }];
                bench.tell(Event::Members { update: ListUpdate::Changes, backends });
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(2));
    targets = decisions
}
criterion_main!(benches);
