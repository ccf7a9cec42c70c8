//! The driver in virtual time: its results are reproducible, and precise enough to distinguish policies.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_testbed::duel::rows;
use lotusdeck_testbed::experiment::Experiment;
use lotusdeck_testbed::oracle::find_violations;
use lotusdeck_testbed::report::figures::Figures;
use lotusdeck_testbed::report::swing::swings;
use lotusdeck_testbed::virtual_time::play;
use lotusdeck_testbed::virtual_time::policy_choice::PolicyChoice;
use lotusdeck_testbed::world::plan::Plan;
use std::path::Path;
use std::sync::Arc;

fn experiment(name: &str) -> Experiment {
    let mut e =
        Experiment::load(&Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments").join(name)).unwrap();
    e.duration_s = e.duration_s.min(14.0);
    e
}

/// The decision module keeps every rule in every experiment of the repository.
#[test]
fn the_module_keeps_the_rules_in_every_experiment() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let mut e = Experiment::load(&path).unwrap();
        if e.capacity() > 100.0 {
            continue; // large experiments are for measurements only
        }
        e.duration_s = e.duration_s.min(14.0);
        let plan = Arc::new(Plan::draw(&e, 3));
        let outcome = play(&plan, PolicyChoice::Halb).unwrap();
        let broken = find_violations(&plan, &outcome.records);
        assert!(broken.is_empty(), "{}: {:?}", e.name, &broken[..broken.len().min(3)]);
    }
}

/// The same plan and policy give the same records on any number of threads.
#[test]
fn the_same_seed_gives_the_same_run() {
    let e = experiment("fifth-dies-cold.toml");
    let plan = Arc::new(Plan::draw(&e, 5));
    let (a, b) = (play(&plan, PolicyChoice::Halb).unwrap(), play(&plan, PolicyChoice::Halb).unwrap());
    assert_eq!(a.records, b.records);
    let parallel = rows(&e, &[PolicyChoice::Halb, PolicyChoice::TwoChoices], 2, &|| {}).unwrap();
    let first = Figures::compute(
        &Plan::draw(&e, e.seed),
        &play(&Arc::new(Plan::draw(&e, e.seed)), PolicyChoice::Halb).unwrap(),
    )
    .0;
    assert_eq!(parallel[0].runs[0].whole.earned, first.whole.earned);
    assert_ne!(parallel[1].runs[0].whole.latency_ms, first.whole.latency_ms);
}

/// At high load, a policy that sees every queue has a lower 99th percentile of the latency than random choice.
#[test]
fn seeing_queues_lowers_latency() {
    let mut e = experiment("first-look.toml");
    e.load.part = Some(0.8);
    let rows = rows(&e, &[PolicyChoice::Oracle, PolicyChoice::Random], 3, &|| {}).unwrap();
    let mean = |r: usize| rows[r].runs.iter().map(|f| f.whole.latency_ms.p99).sum::<f64>() / 3.0;
    assert!(mean(0) * 1.5 < mean(1), "oracle {} ms, random {} ms", mean(0), mean(1));
}

/// Sixty proxies with the same estimates do not oscillate together, also after a disturbance. They once did
/// (`in_step` of 4 and more, of 60; docs/scale.md), because the current flow was compared with the latency of
/// an earlier time.
#[test]
fn many_proxies_do_not_oscillate_together() {
    let mut e = experiment("swings.toml");
    e.duration_s = 22.0;
    e.kind.iter_mut().for_each(|k| k.count /= 2);
    (e.trouble[0].at_s, e.trouble[0].for_s) = (4.0, Some(3.0));
    let plan = Arc::new(Plan::draw(&e, 2));
    for s in swings(&plan, &play(&plan, PolicyChoice::Halb).unwrap(), 8.0) {
        assert!(s.in_step < 3.0, "{}: in step {:.1}, deviation {:.3}", s.kind, s.in_step, s.deviation);
    }
}
