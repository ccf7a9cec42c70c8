//! Short soak runs with printed seeds: proxies are reloaded, shut down and killed while discovery moves and fails.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

use lotusdeck_testbed::soak::{judge, play_all, ListMode, SoakPlan};
use std::path::Path;

/// Plays the plans at the same time and asserts that all rules hold.
fn assert_all_rules_hold(plans: Vec<SoakPlan>) {
    let program = Path::new(env!("CARGO_BIN_EXE_lotusdeck"));
    let folder = std::env::temp_dir().join(format!("lotusdeck-soak-{}", std::process::id()));
    let played = play_all(plans, program, &folder).unwrap();
    for (plan, records) in played {
        let violations = judge(&plan, &records);
        let (seed, mode, proxies) = (plan.seed, plan.mode, plan.proxies);
        println!("seed {seed}, {mode:?}, {proxies} proxies: {} requests", records.requests.len());
        assert!(!records.requests.is_empty(), "seed {seed}: no request was sent");
        let texts: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert!(texts.is_empty(), "seed {seed}, {mode:?}, {proxies} proxies: {texts:#?}");
    }
}

#[test]
fn all_rules_hold_while_one_proxy_is_signalled_and_discovery_moves() {
    let plans = [10, 12]
        .into_iter()
        .flat_map(|seed| [ListMode::Pushed, ListMode::Polled].map(|mode| SoakPlan::draw(seed, mode, 1)));
    assert_all_rules_hold(plans.collect());
}

#[test]
fn all_rules_hold_while_a_dozen_proxies_are_signalled_and_discovery_moves() {
    assert_all_rules_hold(vec![SoakPlan::draw(13, ListMode::Polled, 12)]);
    assert_all_rules_hold(vec![SoakPlan::draw(14, ListMode::Pushed, 12)]);
}
