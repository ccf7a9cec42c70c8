//! Measures what the means of `decision` do not show: the worst single decision, allocations, and memory per
//! backend. `cargo bench -p lotusdeck-policy --bench cost`; results in docs/scale.md.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use fleet::{change, Bench};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::time::{Duration, Instant};

mod fleet;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const TURNS: usize = 90_000;
/// Number of rounds. Interruptions by the machine differ between rounds, while the program's own worst case recurs
/// in each, so the least of the rounds' worst times is reported.
const ROUNDS: usize = 9;

/// Measures the times of `TURNS` calls, us: their mean, their 99.9th percentile and the worst, each the least of all
/// rounds.
fn times(mut call: impl FnMut() -> Duration) -> [f64; 3] {
    let mut least = [f64::INFINITY; 3];
    for _ in 0..ROUNDS {
        let mut round: Vec<f64> = (0..TURNS / ROUNDS).map(|_| call().as_nanos() as f64 / 1e3).collect();
        round.sort_unstable_by(f64::total_cmp);
        let at = |part: f64| round[((round.len() - 1) as f64 * part) as usize];
        let mean = round.iter().sum::<f64>() / round.len() as f64;
        for (least, got) in least.iter_mut().zip([mean, at(0.999), at(1.0)]) {
            *least = least.min(got);
        }
    }
    least
}

fn timed(call: impl FnOnce()) -> Duration {
    let started = Instant::now();
    call();
    started.elapsed()
}

fn main() {
    println!(
        "{:>9} {:>14} {:>18} | request and answer, us: {:>6} {:>7} {:>7} | a line, us: {:>6} {:>7} {:>7}",
        "backends", "bytes, backend", "allocations, turn", "mean", "p99.9", "worst", "mean", "p99.9", "worst"
    );
    for size in [10u32, 100, 1_000, 10_000] {
        let region = Region::new(ALLOCATOR);
        let mut bench = Bench::new(size);
        let held = region.change();
        let bytes = held.bytes_allocated.saturating_sub(held.bytes_deallocated) as f64 / f64::from(size);
        let region = Region::new(ALLOCATOR);
        (0..TURNS).for_each(|_| bench.serve_and_submit());
        let allocations = region.change().allocations as f64 / TURNS as f64;
        let turn = times(|| timed(|| bench.serve_and_submit()));
        let mut n = 0;
        let line = times(|| {
            n += 1;
            let change = change(n, size);
            timed(|| bench.handle(change))
        });
        println!(
            "{size:>9} {bytes:>14.0} {allocations:>18.1} | {:>30.2} {:>7.1} {:>7.1} | {:>18.2} {:>7.1} {:>7.1}",
            turn[0], turn[1], turn[2], line[0], line[1], line[2]
        );
    }
}
