//! Measures the cost of decisions by the size of the fleet: of a request with its answer, and of a change of one
//! list entry. `cargo bench -p lotusdeck-policy`; results in docs/measurements.md.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    missing_docs,
    reason = "tests panic on unexpected results"
)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use fleet::{change, Bench};

mod fleet;

const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("request and answer");
    for size in SIZES {
        let mut bench = Bench::new(size);
        group.bench_function(BenchmarkId::from_parameter(size), |b| b.iter(|| bench.serve_and_submit()));
    }
    group.finish();
    let mut group = c.benchmark_group("one line of the list");
    for size in SIZES {
        let mut bench = Bench::new(size);
        let mut n = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                n += 1;
                bench.handle(change(n, size));
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
