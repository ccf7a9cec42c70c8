//! The figures of docs/fleet-limits.md, in virtual time: what partitions do to the limit and to what is served, and
//! what the talk costs by the number of proxies. `cargo run --release -p lotusdeck-fleet --example figures`.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::{Sim, TERM};
use std::time::Instant;

const SIZE: usize = 9;
const RATE: f64 = 450.0;

/// One third of the proxies brings most of the traffic and is cut off with its links for so long.
fn partition(seed: u64, cut_s: f64) {
    let mut sim = Sim::new(seed, SIZE, Some(RATE), None);
    sim.loss = 0.01;
    let hot = |p: usize| p < SIZE / 3;
    sim.places.iter_mut().enumerate().for_each(|(p, place)| place.load = if hot(p) { 110.0 } else { 12.0 });
    let asked = 3.0 * 110.0 + 6.0 * 12.0;
    sim.run(10.0);
    let before = sim.served(sim.now - 2.0, sim.now);
    sim.cut = Box::new(move |a, b| hot(a) != hot(b));
    let from = sim.now;
    let home = RATE / SIZE as f64;
    let mut fell_back = None;
    while sim.now < from + cut_s {
        sim.run(0.01);
        let borrowed: f64 = (0..SIZE).filter(|p| hot(*p)).map(|p| sim.share(p).map_or(0.0, |s| s.rate)).sum();
        // Among themselves the hot ones have nothing to lend.
        if fell_back.is_none() && borrowed <= 3.0 * home + 1e-6 {
            fell_back = Some(sim.now - from);
        }
    }
    let during = sim.served(from, sim.now);
    sim.cut = Box::new(|_, _| false);
    let healed = sim.now;
    let mut whole = None;
    while whole.is_none() && sim.now < healed + 15.0 {
        sim.run(0.1);
        let seen = sim.views().values().all(|n| *n == SIZE - 1);
        let shares: f64 = (0..SIZE).filter(|p| hot(*p)).map(|p| sim.share(p).map_or(0.0, |s| s.rate)).sum();
        whole = (seen && shares > 0.9 * 330.0).then_some(sim.now - healed);
    }
    let show = |s: Option<f64>| s.map_or("-".to_string(), |s| format!("{s:.2}"));
    println!(
        "{cut_s:>5}  {seed:>4}  {before:>6.0} of {asked:.0}  {during:>6.0}  {:>9}  {:>9}  {:>6.1} of {:.0}  {:.4}",
        show(fell_back),
        show(whole),
        sim.over(),
        sim.allowed(),
        sim.most_shares / RATE,
    );
}

/// Ten seconds of a fleet in which one proxy in ten brings five times its part.
fn cost(size: usize) {
    let rate = 50.0 * size as f64;
    let mut sim = Sim::new(3, size, Some(rate), None);
    sim.places
        .iter_mut()
        .enumerate()
        .for_each(|(p, place)| place.load = if p % 10 == 0 { 200.0 } else { 15.0 });
    sim.run(15.0);
    let (bytes, datagrams, ticks) = (sim.bytes, sim.datagrams, sim.spent);
    sim.run(10.0);
    let each = |n: u64| n as f64 / 10.0 / size as f64;
    let cpu = (sim.spent - ticks).as_secs_f64() / 10.0 / size as f64;
    let served = sim.served(sim.now - 5.0, sim.now);
    let asked = size.div_ceil(10) as f64 * 200.0 + (size - size.div_ceil(10)) as f64 * 15.0;
    println!(
        "{size:>7}  {:>8.1}  {:>8.0}  {:>7.0}  {:.3} of what is asked, {:.3} by fixed shares",
        each(sim.datagrams - datagrams),
        each(sim.bytes - bytes),
        cpu * 1e6,
        served / asked,
        (size.div_ceil(10) as f64 * 50.0 + (size - size.div_ceil(10)) as f64 * 15.0) / asked,
    );
}

/// How far what proxies believe of the others lags behind the truth: all hold as many as the time is old, in
/// hundredths of a second, so that what is believed tells how old it is.
fn staleness(size: usize) {
    let mut sim = Sim::new(4, size, None, None);
    sim.held = Some(|now| (now * 100.0) as u32);
    sim.run(15.0);
    let (bytes, datagrams, spent) = (sim.bytes, sim.datagrams, sim.spent);
    let (mut lags, mut unheard) = (Vec::new(), 0);
    for _ in 0..20 {
        sim.run(0.1);
        for p in 0..size {
            match sim.others_hold(p) {
                Some(sum) => lags.push(sim.now - sum / (size - 1) as f64 / 100.0),
                None => unheard += 1,
            }
        }
    }
    lags.sort_by(f64::total_cmp);
    let at = |q: f64| lags[((lags.len() - 1) as f64 * q) as usize];
    let each = |n: u64| n as f64 / 2.0 / size as f64;
    println!(
        "{size:>7}  {:>8.1}  {:>8.0}  {:>7.0}  {:.2}  {:.2}  {unheard}",
        each(sim.datagrams - datagrams),
        each(sim.bytes - bytes),
        (sim.spent - spent).as_secs_f64() / 2.0 / size as f64 * 1e6,
        at(0.5),
        at(0.99),
    );
}

fn main() {
    let begun = Instant::now();
    println!("{SIZE} proxies, {RATE}/s, term {TERM:?}, 1 % of datagrams lost; a third with 0.82 of the traffic is cut off");
    println!(
        "cut s  seed  served/s before  during  fell back  whole again  over the rate  shares of the limit"
    );
    for cut_s in [0.5, 2.0, 10.0] {
        (7..10).for_each(|seed| partition(seed, cut_s));
    }
    println!("\nproxies  datagrams  bytes  CPU us, each a second for a proxy; served in the last 5 s");
    [10, 100, 1_000].into_iter().for_each(cost);
    println!("\nproxies  datagrams  bytes  CPU us, each a second for a proxy that tells what it holds; lag s p50, p99; unheard");
    [10, 40, 100, 300, 1_000].into_iter().for_each(staleness);
    println!("\n{:.0} s", begun.elapsed().as_secs_f64());
}
