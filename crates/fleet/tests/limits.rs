//! The bound of docs/fleet-limits.md in virtual time: whatever links and processes do, all proxies together admit no
//! more than the limit; and what one does not use serves the others.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

mod sim;

use sim::Sim;

/// One of six brings five times its part, the others little: with leases the fleet admits nearly all of it.
#[test]
fn what_others_do_not_use_is_lent() {
    let mut sim = Sim::new(1, 6, Some(300.0), None);
    for (p, place) in sim.places.iter_mut().enumerate() {
        place.load = if p == 0 { 180.0 } else { 12.0 };
    }
    sim.run(12.0);
    let (alone, served) = (300.0 / 6.0 + 5.0 * 12.0, sim.served(6.0, 12.0));
    println!("served {served:.0}/s of 240 asked; by fixed shares {alone:.0}");
    assert!(served > 0.93 * 240.0, "{served}");
    assert!(sim.over() <= sim.allowed(), "{} over, {} allowed", sim.over(), sim.allowed());
}

/// Everybody brings more than its part: each keeps its own, and the fleet admits the limit.
#[test]
fn under_overload_each_keeps_its_own() {
    let mut sim = Sim::new(2, 5, Some(200.0), None);
    sim.places.iter_mut().enumerate().for_each(|(p, place)| place.load = 60.0 + 20.0 * p as f64);
    sim.run(10.0);
    let served = sim.served(4.0, 10.0);
    assert!((190.0..=203.0).contains(&served), "{served}");
    for p in 0..5 {
        let own = sim.admitted.iter().filter(|a| a.1 == p && a.0 > 4.0).count() as f64 / 7.0;
        assert!((34.0..48.0).contains(&own), "proxy {p}: {own}");
    }
}

/// Faults drawn from a seed: loss, delay past the term, doubled datagrams, partitions, kills, quick restarts, pauses and
/// loads that move. In no span is more admitted than the limit and what shares may gather.
#[test]
fn no_fault_lets_the_fleet_over_its_limit() {
    use rand::rngs::SmallRng;
    use rand::{RngExt, SeedableRng};
    let mut worst = 0.0f64;
    for seed in 0..40u64 {
        let mut dice = SmallRng::seed_from_u64(seed);
        let size = dice.random_range(3..9);
        let rate = [30.0, 120.0, 600.0][dice.random_range(0..3)];
        let mut sim = Sim::new(seed, size, Some(rate), None);
        sim.loss = [0.0, 0.1, 0.4][dice.random_range(0..3)];
        sim.doubled = [0.0, 0.2][dice.random_range(0..2)];
        sim.delay = [0.002, 0.3, 2.5][dice.random_range(0..3)];
        for _ in 0..30 {
            match dice.random_range(0..6) {
                0 => {
                    let split = dice.random_range(0..size);
                    sim.cut = Box::new(move |a, b| (a <= split) != (b <= split));
                }
                1 => {
                    let one = dice.random_range(0..size);
                    sim.cut = Box::new(move |a, _| a == one); // it hears, and is not heard
                }
                2 => sim.cut = Box::new(|_, _| false),
                3 => sim.start(dice.random_range(0..size)), // killed and back at once
                4 => {
                    let p = dice.random_range(0..size);
                    sim.places[p].paused_until = sim.now + dice.random_range(0.1..3.0);
                }
                _ => {}
            }
            // Most of the load moves from one to another.
            let hot = dice.random_range(0..size);
            for (p, place) in sim.places.iter_mut().enumerate() {
                place.load = rate * if p == hot { 2.0 } else { dice.random_range(0.0..0.3) };
            }
            sim.run(dice.random_range(0.2..1.2));
        }
        let (over, allowed) = (sim.over(), sim.allowed());
        worst = worst.max(over / allowed);
        assert!(
            over <= allowed,
            "seed {seed}: {size} proxies, {rate}/s: {over:.1} over, {allowed:.1} allowed"
        );
    }
    println!("the worst of 40 seeds: {worst:.2} of what is allowed");
}

/// The same of requests at once: never more than the limit, though requests outlast leases and links are cut.
#[test]
fn no_fault_lets_more_in_at_once() {
    use rand::rngs::SmallRng;
    use rand::{RngExt, SeedableRng};
    let mut most = 0;
    for seed in 100..130u64 {
        let mut dice = SmallRng::seed_from_u64(seed);
        let size = dice.random_range(3..7);
        let mut sim = Sim::new(seed, size, None, Some(40));
        sim.holds = sim::LONGEST.as_secs_f64();
        sim.loss = [0.0, 0.3][dice.random_range(0..2)];
        sim.delay = [0.002, 1.2][dice.random_range(0..2)];
        for _ in 0..25 {
            match dice.random_range(0..4) {
                0 => {
                    let split = dice.random_range(0..size);
                    sim.cut = Box::new(move |a, b| (a <= split) != (b <= split));
                }
                1 => sim.cut = Box::new(|_, _| false),
                2 => sim.start(dice.random_range(0..size)),
                _ => {}
            }
            let hot = dice.random_range(0..size);
            for (p, place) in sim.places.iter_mut().enumerate() {
                place.load = if p == hot { 120.0 } else { dice.random_range(0.0..10.0) };
            }
            sim.run(dice.random_range(0.2..1.5));
        }
        most = most.max(sim.most_open);
        assert!(sim.most_open <= 40, "seed {seed}: {} open at once of 40", sim.most_open);
    }
    assert!(most > 20, "the limit was neared: {most}");
}

/// A proxy that is cut off keeps to its own; healed, it is seen, and what it needs is lent again within five seconds.
#[test]
fn a_cut_proxy_falls_back_to_its_own_and_converges_after_the_heal() {
    for cut_s in [0.5, 2.0, 10.0] {
        let mut sim = Sim::new(5, 5, Some(250.0), None);
        sim.places
            .iter_mut()
            .enumerate()
            .for_each(|(p, place)| place.load = if p == 0 { 150.0 } else { 10.0 });
        sim.run(8.0);
        assert!(sim.seen_by(0) == 4 && sim.served(6.0, 8.0) > 175.0, "{:?}", sim.views());
        sim.cut = Box::new(|a, b| a == 0 || b == 0);
        sim.run(cut_s);
        let own =
            sim.admitted.iter().filter(|a| a.1 == 0 && a.0 > sim.now - (cut_s - 1.2).max(0.1)).count() as f64;
        if cut_s > 2.0 {
            assert!(own / (cut_s - 1.2) < 1.1 * 50.0, "cut off it admits its own: {own}");
        }
        sim.cut = Box::new(|_, _| false);
        let healed = sim.now;
        let mut took = None;
        while took.is_none() && sim.now < healed + 10.0 {
            sim.run(0.25);
            let all = sim.views().values().all(|n| *n == 4);
            let flows = sim.admitted.iter().filter(|a| a.1 == 0 && a.0 > sim.now - 0.5).count() as f64 / 0.5;
            took = (all && flows > 0.9 * 150.0).then_some(sim.now - healed);
        }
        println!("cut for {cut_s} s: whole again after {took:?} s");
        assert!(took.is_some_and(|s| s <= 5.0), "cut for {cut_s} s: {took:?}");
        assert!(sim.over() <= sim.allowed());
    }
}

/// Processes that restart again and again, each asking for all it can get, admit no more than such as live.
#[test]
fn restarts_do_not_multiply_leases() {
    let mut sim = Sim::new(6, 4, Some(200.0), None);
    sim.places.iter_mut().enumerate().for_each(|(p, place)| place.load = if p == 3 { 400.0 } else { 20.0 });
    for _ in 0..30 {
        sim.run(0.7);
        sim.start(3);
    }
    assert!(sim.over() <= sim.allowed(), "{} over, {} allowed", sim.over(), sim.allowed());
    // All of them, ten times a second: a bucket that began full would be emptied each time.
    let mut sim = Sim::new(7, 4, Some(20.0), None);
    sim.places.iter_mut().for_each(|place| place.load = 50.0);
    for _ in 0..100 {
        sim.run(0.1);
        (0..4).for_each(|p| sim.start(p));
    }
    assert!(sim.over() <= sim.allowed(), "{} over, {} allowed", sim.over(), sim.allowed());
}
