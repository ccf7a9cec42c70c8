//! Measures the cost of tens of thousands of classes and tenants: reading settings, merging and applying them,
//! looking up a name, and the memory for each. `cargo bench -p lotusdeck-policy --bench names`.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_policy::settings::{IdsInUse, Settings};
use lotusdeck_policy::*;
use serde_json::{json, Value};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Numbers of names, from those of today to those expected in two years.
const SIZES: [usize; 4] = [1_000, 4_000, 16_000, 34_000];
/// Each figure is the median of this many runs, as other processes use the machine too.
const RUNS: usize = 7;
/// Number of lookups that are timed together, as one is too short for the clock.
const LOOKUPS: usize = 2_000;

/// A change of settings whose time on the event loop is measured replaces one name in this many.
const REPLACED: usize = 20;
/// Number of backends that the balancer knows meanwhile.
const BACKENDS: u32 = 1_000;

/// Builds settings with these numbers of classes and tenants, whose names are numbered from `first`.
fn settings(classes: usize, tenants: usize, first: usize) -> Value {
    let class = |i| {
        json!({"name": format!("class-{i:05}"), "aim_us": 900_000, "deadline_us": 3_000_000, "effect": "free",
            "gain": 1.0, "late_worth": 0.5})
    };
    let tenant = |i| json!({"name": format!("tenant-{i:05}"), "quota_rps": 10.0});
    json!({
        "blend": {"whole": 0.6, "worst_class": 0.2}, "costs": {"cross_zone": 0.0},
        "customers": (first..first + tenants).map(tenant).collect::<Vec<Value>>(),
        "discovery": "automatic", "position": 0, "group_size": 1, "granularity_us": 5000, "kinds": ["big"],
        "my_zone": "east", "zones": ["east"], "over_share_worth": 0.1,
        "limits": {"cancel": true, "max_attempts": 4, "parallel_tries": true, "dial_timeout_us": 300_000,
            "conn_idle_us": 60_000_000, "max_retry_after_us": 2_000_000},
        "profiles": (first..first + classes).map(class).collect::<Vec<Value>>(),
        "rules": {"cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 9_000_000,
            "ramp_time_us": 9_000_000, "tip_after_us": 2_000_000},
    })
}

/// Measures the median time of a call, us.
fn median<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let started = Instant::now();
            let made = black_box(call());
            let took = started.elapsed().as_secs_f64() * 1e6;
            drop(made);
            took
        })
        .collect();
    times.sort_unstable_by(f64::total_cmp);
    times[RUNS / 2]
}

/// Measures how long the balancer takes to apply other settings, us, in ascending order. This includes dropping the
/// old settings, as on the event loop.
fn apply_times(old: &Settings, classes: usize, tenants: usize) -> Vec<f64> {
    let mut balancer = Balancer::new(old.config.clone(), 1).expect("valid settings");
    let backend = |id| Backend { id: BackendId(id), state: BackendState::Ready, ..Backend::default() };
    let backends = (0..BACKENDS).map(backend).collect();
    let mut actions = Vec::new();
    balancer.handle(Time(0), Event::EndpointsUpdated { update: ListUpdate::Full, backends }, &mut actions);
    let mut active = old.clone();
    let mut one = |run: usize| {
        let first = run * classes.max(tenants).div_ceil(REPLACED);
        let new = Settings::read(&settings(classes, tenants, first)).expect("valid settings");
        let next = active.merge_successor(new, &active.names, &IdsInUse::default());
        let config = Box::new(next.settings.config.clone());
        let started = Instant::now();
        balancer.handle(
            Time(run as u64),
            Event::ConfigApplied { config, reassigned: next.reassigned },
            &mut actions,
        );
        drop(std::mem::replace(&mut active, next.settings));
        started.elapsed().as_secs_f64() * 1e6
    };
    let mut times: Vec<f64> = (1..=RUNS).map(&mut one).collect();
    times.sort_unstable_by(f64::total_cmp);
    times
}

/// Prints a row for settings with these numbers of classes and tenants, the last of which are looked up.
fn row(classes: usize, tenants: usize) {
    let value = settings(classes, tenants, 0);
    let read = || Settings::read(&value).expect("valid settings");
    let region = Region::new(ALLOCATOR);
    let old = read();
    let held = region.change();
    let bytes = held.bytes_allocated.saturating_sub(held.bytes_deallocated);
    let read_us = median(read);
    let mut fresh: Vec<Settings> = (0..RUNS).map(|_| read()).collect();
    let merge_us =
        median(|| old.merge_successor(fresh.pop().unwrap_or_else(read), &old.names, &IdsInUse::default()));
    let (class, tenant) = (format!("class-{:05}", classes - 1), format!("tenant-{:05}", tenants - 1));
    let region = Region::new(ALLOCATOR);
    let median_lookup_ns = |lookup: &dyn Fn() -> bool| {
        let lookups = || (0..LOOKUPS).filter(|_| lookup()).count();
        median(lookups) * 1e3 / LOOKUPS as f64
    };
    let class_ns = median_lookup_ns(&|| old.names.class(black_box(&class)).is_some());
    let tenant_ns = median_lookup_ns(&|| old.names.tenant(black_box(&tenant)).is_some());
    // Minus the list that each of the two calls of `median` allocates.
    let allocations = region.change().allocations - 2;
    let apply_us = apply_times(&old, classes, tenants);
    println!(
        "{classes:>8} {tenants:>8} {read_us:>10.0} {merge_us:>10.0} {class_ns:>10.0} {tenant_ns:>10.0} \
         {allocations:>12} {bytes:>10} {:>10.1} {:>10.0} {:>10.0}",
        bytes as f64 / classes.max(tenants) as f64,
        apply_us[RUNS / 2],
        apply_us[RUNS - 1]
    );
}

fn main() {
    println!(
        "{:>8} {:>8} {:>10} {:>10} {:>10} {:>10} {:>12} {:>10} {:>10} {:>10} {:>10}",
        "classes",
        "tenants",
        "read, us",
        "after, us",
        "class, ns",
        "tenant, ns",
        "allocations",
        "bytes",
        "each",
        "held, us",
        "worst"
    );
    SIZES.into_iter().for_each(|tenants| row(1, tenants));
    SIZES.into_iter().for_each(|classes| row(classes, 1));
    row(16_000, 34_000);
}
