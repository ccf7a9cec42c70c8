//! Prints the figures of docs/fleet-limits.md from simulations in virtual time: the effect of partitions on the limit
//! and on the requests served, and the cost of gossip by the number of proxies.
//!
//! `cargo run --release -p lotusdeck-fleet --example figures`
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::{Sim, LEASE_DURATION};
use std::time::{Duration, Instant};

/// Number of proxies in the fleet that is partitioned. A third of them has most of the load.
const SIZE: usize = 9;
/// The fleet's limit in requests a second.
const RATE: f64 = 450.0;
const LOADED_PROXIES: usize = SIZE / 3;
/// Requests a second at a loaded proxy.
const HIGH_LOAD: f64 = 110.0;
/// Requests a second at each other proxy.
const LOW_LOAD: f64 = 12.0;

fn is_loaded(index: usize) -> bool {
    index < LOADED_PROXIES
}

/// Returns the total rate that the loaded proxies may use.
fn loaded_rate(sim: &Sim) -> f64 {
    (0..LOADED_PROXIES).map(|index| sim.quota_status(index).map_or(0.0, |status| status.rate)).sum()
}

fn seconds_or_dash(span: Option<f64>) -> String {
    span.map_or("-".to_string(), |span| format!("{span:.2}"))
}

/// Disconnects the loaded proxies from the others for `disconnected_s` seconds and prints the effect.
fn print_partition(seed: u64, disconnected_s: f64) {
    let mut sim = Sim::new(seed, SIZE, Some(RATE), None);
    sim.network.loss = 0.01;
    sim.set_loads(|index| if is_loaded(index) { HIGH_LOAD } else { LOW_LOAD });
    let requested = LOADED_PROXIES as f64 * HIGH_LOAD + (SIZE - LOADED_PROXIES) as f64 * LOW_LOAD;
    sim.run(10.0);
    let before = sim.served(sim.now - 2.0, sim.now);
    sim.network.is_link_down = Box::new(move |from, to| is_loaded(from) != is_loaded(to));
    let disconnected = sim.now;
    let fallback_after = run_until_fallback(&mut sim, disconnected_s);
    let during = sim.served(disconnected, sim.now);
    sim.network.heal();
    let recovery_after = run_until_recovery(&mut sim);
    println!(
        "{disconnected_s:>5}  {seed:>4}  {before:>6.0} of {requested:.0}  {during:>6.0}  {:>9}  {:>9}  {:>6.1} of {:.0}  {:.4}",
        seconds_or_dash(fallback_after),
        seconds_or_dash(recovery_after),
        sim.excess(),
        sim.allowed_excess(),
        sim.max_quota_sum / RATE,
    );
}

/// Runs for `span` seconds. Returns after what time the loaded proxies had only their own quotas: they have nothing
/// to lend to each other.
fn run_until_fallback(sim: &mut Sim, span: f64) -> Option<f64> {
    let started = sim.now;
    let own_rate = LOADED_PROXIES as f64 * (RATE / SIZE as f64);
    let mut fallback_after = None;
    while sim.now < started + span {
        sim.run(0.01);
        if fallback_after.is_none() && loaded_rate(sim) <= own_rate + 1e-6 {
            fallback_after = Some(sim.now - started);
        }
    }
    fallback_after
}

/// Runs until all proxies see each other and the loaded ones may admit nine tenths of their load, but for at most 15 s.
/// Returns how long that took.
fn run_until_recovery(sim: &mut Sim) -> Option<f64> {
    let healed = sim.now;
    while sim.now < healed + 15.0 {
        sim.run(0.1);
        let sees_all = sim.live_members().values().all(|members| *members == SIZE - 1);
        if sees_all && loaded_rate(sim) > 0.9 * LOADED_PROXIES as f64 * HIGH_LOAD {
            return Some(sim.now - healed);
        }
    }
    None
}

/// Datagrams, bytes and processor time since the start of a simulation.
#[derive(Clone, Copy)]
struct Totals {
    bytes: u64,
    datagrams: u64,
    processor_time: Duration,
}

impl Totals {
    fn of(sim: &Sim) -> Totals {
        Totals {
            bytes: sim.network.bytes,
            datagrams: sim.network.datagrams,
            processor_time: sim.processing_time,
        }
    }

    /// Returns the columns of a table: datagrams, bytes and processor time in us, each per second and proxy.
    fn columns_since(self, earlier: Totals, proxies: usize, seconds: f64) -> String {
        let per_proxy_second = |total: u64| total as f64 / seconds / proxies as f64;
        let processor_s = (self.processor_time - earlier.processor_time).as_secs_f64();
        format!(
            "{proxies:>7}  {:>8.1}  {:>8.0}  {:>7.0}",
            per_proxy_second(self.datagrams - earlier.datagrams),
            per_proxy_second(self.bytes - earlier.bytes),
            processor_s / seconds / proxies as f64 * 1e6
        )
    }
}

/// Prints the cost of ten seconds in a fleet where one proxy in ten has four times its part of the limit as load.
fn print_cost(size: usize) {
    const OWN_RATE: f64 = 50.0;
    const LOADED_PROXY_LOAD: f64 = 200.0;
    const OTHER_PROXY_LOAD: f64 = 15.0;
    let mut sim = Sim::new(3, size, Some(OWN_RATE * size as f64), None);
    sim.set_loads(|index| if index % 10 == 0 { LOADED_PROXY_LOAD } else { OTHER_PROXY_LOAD });
    sim.run(15.0);
    let before = Totals::of(&sim);
    sim.run(10.0);
    let columns = Totals::of(&sim).columns_since(before, size, 10.0);
    let served = sim.served(sim.now - 5.0, sim.now);
    let loaded = size.div_ceil(10) as f64;
    let others = size as f64 - loaded;
    let requested = loaded * LOADED_PROXY_LOAD + others * OTHER_PROXY_LOAD;
    let served_by_fixed_quotas = loaded * OWN_RATE + others * OTHER_PROXY_LOAD;
    println!(
        "{columns}  {:.3} of what is requested, {:.3} with fixed quotas",
        served / requested,
        served_by_fixed_quotas / requested
    );
}

/// Prints how old the load reports are that proxies have of the others. Each proxy reports the current time, in
/// hundredths of a second, as its load.
fn print_staleness(size: usize) {
    let mut sim = Sim::new(4, size, None, None);
    sim.reported_load = Some(|now| (now * 100.0) as u32);
    sim.run(15.0);
    let before = Totals::of(&sim);
    let mut ages = Vec::new();
    let mut unknown = 0;
    for _ in 0..20 {
        sim.run(0.1);
        for index in 0..size {
            match sim.others_in_flight(index) {
                Some(sum) => ages.push(sim.now - sum / (size - 1) as f64 / 100.0),
                None => unknown += 1,
            }
        }
    }
    ages.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| ages[((ages.len() - 1) as f64 * fraction) as usize];
    let columns = Totals::of(&sim).columns_since(before, size, 2.0);
    println!("{columns}  {:.2}  {:.2}  {unknown}", quantile(0.5), quantile(0.99));
}

fn main() {
    let started = Instant::now();
    println!(
        "{SIZE} proxies, {RATE}/s, leases of {LEASE_DURATION:?}, 1 % of datagrams lost; a third with 0.82 of the load is \
         disconnected"
    );
    println!(
        "disconnected s  seed  served/s before  during  fell back  recovered  over the rate  quotas of the limit"
    );
    for disconnected_s in [0.5, 2.0, 10.0] {
        (7..10).for_each(|seed| print_partition(seed, disconnected_s));
    }
    println!("\nproxies  datagrams  bytes  CPU us, each a second for a proxy; served in the last 5 s");
    [10, 100, 1_000].into_iter().for_each(print_cost);
    println!(
        "\nproxies  datagrams  bytes  CPU us, each a second for a proxy that reports its load; age s p50, p99; unknown"
    );
    [10, 40, 100, 300, 1_000].into_iter().for_each(print_staleness);
    println!("\n{:.0} s", started.elapsed().as_secs_f64());
}
