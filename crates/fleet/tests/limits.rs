//! Checks the bound of docs/fleet-limits.md in virtual time: under any faults of links and processes, all proxies
//! together admit no more than the limit, and what one proxy does not use is available to the others.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

mod sim;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sim::Sim;

/// Partitions the fleet in two at a random index.
fn partition(sim: &mut Sim, rng: &mut SmallRng) {
    let split = rng.random_range(0..sim.proxies.len());
    sim.network.is_link_down = Box::new(move |from, to| (from <= split) != (to <= split));
}

/// Injects a random fault: a partition, a proxy whose datagrams are lost, a heal, a restart, a pause, or none.
fn inject_fault(sim: &mut Sim, rng: &mut SmallRng) {
    let size = sim.proxies.len();
    match rng.random_range(0..6) {
        0 => partition(sim, rng),
        1 => {
            let sender = rng.random_range(0..size);
            sim.network.is_link_down = Box::new(move |from, _| from == sender);
        }
        2 => sim.network.heal(),
        3 => sim.start(rng.random_range(0..size)),
        4 => {
            let paused = rng.random_range(0..size);
            sim.proxies[paused].paused_until = sim.now + rng.random_range(0.1..3.0);
        }
        _ => {}
    }
}

/// One of six proxies has more than three times its part of the limit as load, the others little. With leases the fleet
/// admits nearly all of it.
#[test]
fn unused_quota_is_lent_to_a_loaded_proxy() {
    let mut sim = Sim::new(1, 6, Some(300.0), None);
    sim.set_loads(|index| if index == 0 { 180.0 } else { 12.0 });
    sim.run(12.0);
    let (with_fixed_quotas, served) = (300.0 / 6.0 + 5.0 * 12.0, sim.served(6.0, 12.0));
    println!("served {served:.0}/s of 240 requested; with fixed quotas {with_fixed_quotas:.0}");
    assert!(served > 0.93 * 240.0, "{served}");
    assert!(sim.excess() <= sim.allowed_excess(), "{} over, {} allowed", sim.excess(), sim.allowed_excess());
}

/// Each proxy has more load than its part of the limit. Each keeps its own part, and the fleet admits the limit.
#[test]
fn overloaded_proxies_keep_their_own_quotas() {
    let mut sim = Sim::new(2, 5, Some(200.0), None);
    sim.set_loads(|index| 60.0 + 20.0 * index as f64);
    sim.run(10.0);
    let served = sim.served(4.0, 10.0);
    assert!((190.0..=203.0).contains(&served), "{served}");
    for index in 0..5 {
        let own = sim.admitted_by(index, 4.0) / 7.0;
        assert!((34.0..48.0).contains(&own), "proxy {index}: {own}");
    }
}

/// Random faults: loss, delay beyond the lease, duplication, partitions, quick restarts, pauses, and load that moves
/// between proxies. In no span does the fleet admit more than the limit and the bursts of the quotas.
#[test]
fn fleet_stays_within_its_rate_under_any_faults() {
    let mut max_ratio = 0.0f64;
    for seed in 0..40u64 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = rng.random_range(3..9);
        let rate = [30.0, 120.0, 600.0][rng.random_range(0..3)];
        let mut sim = Sim::new(seed, size, Some(rate), None);
        sim.network.loss = [0.0, 0.1, 0.4][rng.random_range(0..3)];
        sim.network.duplication = [0.0, 0.2][rng.random_range(0..2)];
        sim.network.max_delay = [0.002, 0.3, 2.5][rng.random_range(0..3)];
        for _ in 0..30 {
            inject_fault(&mut sim, &mut rng);
            // Most of the load moves to another proxy.
            let loaded = rng.random_range(0..size);
            for (index, proxy) in sim.proxies.iter_mut().enumerate() {
                proxy.load = rate * if index == loaded { 2.0 } else { rng.random_range(0.0..0.3) };
            }
            sim.run(rng.random_range(0.2..1.2));
        }
        let (excess, allowed) = (sim.excess(), sim.allowed_excess());
        max_ratio = max_ratio.max(excess / allowed);
        assert!(
            excess <= allowed,
            "seed {seed}: {size} proxies, {rate}/s: {excess:.1} over, {allowed:.1} allowed"
        );
    }
    println!("maximum over 40 seeds: {max_ratio:.2} of the allowed excess");
}

/// There are never more concurrent requests than the limit, although requests outlast leases and links fail.
#[test]
fn fleet_stays_within_its_slots_under_any_faults() {
    let mut max_in_flight = 0;
    for seed in 100..130u64 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = rng.random_range(3..7);
        let mut sim = Sim::new(seed, size, None, Some(40));
        sim.max_duration = sim::MAX_REQUEST_DURATION.as_secs_f64();
        sim.network.loss = [0.0, 0.3][rng.random_range(0..2)];
        sim.network.max_delay = [0.002, 1.2][rng.random_range(0..2)];
        for _ in 0..25 {
            match rng.random_range(0..4) {
                0 => partition(&mut sim, &mut rng),
                1 => sim.network.heal(),
                2 => sim.start(rng.random_range(0..size)),
                _ => {}
            }
            let loaded = rng.random_range(0..size);
            for (index, proxy) in sim.proxies.iter_mut().enumerate() {
                proxy.load = if index == loaded { 120.0 } else { rng.random_range(0.0..10.0) };
            }
            sim.run(rng.random_range(0.2..1.5));
        }
        max_in_flight = max_in_flight.max(sim.max_in_flight);
        assert!(sim.max_in_flight <= 40, "seed {seed}: {} in flight of 40", sim.max_in_flight);
    }
    assert!(max_in_flight > 20, "too few requests to test the limit: {max_in_flight} in flight");
}

/// A disconnected proxy falls back to its own quota. Within five seconds after the heal all proxies see each other
/// and it has leases again.
#[test]
fn disconnected_proxy_falls_back_to_its_own_quota_and_recovers_after_the_heal() {
    for disconnected_s in [0.5, 2.0, 10.0] {
        let mut sim = Sim::new(5, 5, Some(250.0), None);
        sim.set_loads(|index| if index == 0 { 150.0 } else { 10.0 });
        sim.run(8.0);
        assert!(sim.live_members_seen_by(0) == 4 && sim.served(6.0, 8.0) > 175.0, "{:?}", sim.live_members());
        sim.network.is_link_down = Box::new(|a, b| a == 0 || b == 0);
        sim.run(disconnected_s);
        let own = sim.admitted_by(0, sim.now - (disconnected_s - 1.2).max(0.1));
        if disconnected_s > 2.0 {
            assert!(own / (disconnected_s - 1.2) < 1.1 * 50.0, "admitted while disconnected: {own}");
        }
        sim.network.heal();
        let healed = sim.now;
        let mut recovery = None;
        while recovery.is_none() && sim.now < healed + 10.0 {
            sim.run(0.25);
            let sees_all = sim.live_members().values().all(|n| *n == 4);
            let admitted_rate = sim.admitted_by(0, sim.now - 0.5) / 0.5;
            recovery = (sees_all && admitted_rate > 0.9 * 150.0).then_some(sim.now - healed);
        }
        println!("disconnected for {disconnected_s} s: recovered after {recovery:?} s");
        assert!(recovery.is_some_and(|s| s <= 5.0), "disconnected for {disconnected_s} s: {recovery:?}");
        assert!(sim.excess() <= sim.allowed_excess());
    }
}

/// Repeated restarts, after each of which the new process requests leases, do not make the fleet admit more than
/// allowed.
#[test]
fn restarted_processes_do_not_multiply_leases() {
    let mut sim = Sim::new(6, 4, Some(200.0), None);
    sim.set_loads(|index| if index == 3 { 400.0 } else { 20.0 });
    for _ in 0..30 {
        sim.run(0.7);
        sim.start(3);
    }
    assert!(sim.excess() <= sim.allowed_excess(), "{} over, {} allowed", sim.excess(), sim.allowed_excess());
    // All proxies restart ten times a second: buckets that started full would admit a burst each time.
    let mut sim = Sim::new(7, 4, Some(20.0), None);
    sim.set_loads(|_| 50.0);
    for _ in 0..100 {
        sim.run(0.1);
        (0..4).for_each(|index| sim.start(index));
    }
    assert!(sim.excess() <= sim.allowed_excess(), "{} over, {} allowed", sim.excess(), sim.allowed_excess());
}
