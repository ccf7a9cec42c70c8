//! Compares shares with values computed by hand from the paper's formula.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_policy::halb_shares;

fn assert_close(got: Vec<f64>, want: &[f64]) {
    assert_eq!(got.len(), want.len());
    for (g, w) in got.iter().zip(want) {
        assert!((g - w).abs() < 1e-9, "got {got:?}, want {want:?}");
    }
}

const TWO: [(f64, f64); 2] = [(1.0, 4.0), (1.0, 1.0)];

#[test]
fn both_kinds_serve_above_the_clamp() {
    // Sum of roots 3, of service rates 5: flows 4 - 2 * 1.5 / 3 = 3 and 1 - 1.5 / 3 = 0.5.
    assert_close(halb_shares(&TWO, Some(3.5)), &[6.0 / 7.0, 1.0 / 7.0]);
}

#[test]
fn at_light_load_the_slow_kind_gets_nothing() {
    assert_close(halb_shares(&TWO, Some(2.0)), &[1.0, 0.0]);
    assert_close(halb_shares(&TWO, Some(1.0)), &[1.0, 0.0]);
}

#[test]
fn without_a_clamped_kind_the_others_are_solved_again() {
    // All three: sum of roots 6, of service rates 14; the third flow is 1 - 8.5 / 6 < 0.
    // The first two: sum of roots 5, of service rates 13; flows 9 - 3 * 1.5 = 4.5 and 4 - 2 * 1.5 = 1.
    let three = [(1.0, 9.0), (1.0, 4.0), (1.0, 1.0)];
    assert_close(halb_shares(&three, Some(5.5)), &[4.5 / 5.5, 1.0 / 5.5, 0.0]);
}

#[test]
fn counts_weight_the_shares_and_may_be_fractional() {
    // Sum of roots 2 * 2 + 0.5 = 4.5, of service rates 8.5. At 4 per second, (8.5 - 4) / 4.5 = 1: flows 8 - 4 and
    // 0.5 - 0.5.
    assert_close(halb_shares(&[(2.0, 4.0), (0.5, 1.0)], Some(4.0)), &[1.0, 0.0]);
    // At 6.25: (8.5 - 6.25) / 4.5 = 0.5: flows 8 - 2 and 0.5 - 0.25.
    assert_close(halb_shares(&[(2.0, 4.0), (0.5, 1.0)], Some(6.25)), &[0.96, 0.04]);
}

#[test]
fn over_capacity_all_traffic_is_still_divided() {
    // (5 - 8) / 3 = -1: flows 4 + 2 and 1 + 1.
    assert_close(halb_shares(&TWO, Some(8.0)), &[0.75, 0.25]);
}

#[test]
fn without_a_rate_ready_counts_decide() {
    assert_close(halb_shares(&[(3.0, 4.0), (1.0, 1.0), (0.0, 9.0)], None), &[0.75, 0.25, 0.0]);
}

#[test]
fn near_zero_rate_the_fastest_kind_takes_all() {
    assert_close(halb_shares(&TWO, Some(0.0)), &[1.0, 0.0]);
    assert_close(halb_shares(&[(1.0, 4.0), (3.0, 4.0)], Some(0.0)), &[0.25, 0.75]);
    assert_close(halb_shares(&[(0.0, 9.0), (1.0, 4.0), (1.0, 1.0)], Some(1e-12)), &[0.0, 1.0, 0.0]);
}

#[test]
fn one_kind_takes_all_and_none_ready_takes_nothing() {
    assert_close(halb_shares(&[(2.0, 3.0)], Some(1.0)), &[1.0]);
    assert_close(halb_shares(&[(0.0, 3.0), (0.0, 1.0)], Some(1.0)), &[0.0, 0.0]);
    assert_close(halb_shares(&[(0.0, 3.0), (2.0, 1.0)], Some(1.0)), &[0.0, 1.0]);
    assert_close(halb_shares(&[], Some(1.0)), &[]);
    assert_close(halb_shares(&[], None), &[]);
}
