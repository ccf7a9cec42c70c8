use super::*;

/// The decision module's shares minimise the mean response time of the closed formula: no other split of two kinds, in
/// steps of 0.001, is better.
#[test]
fn no_other_split_is_better() {
    let kinds = vec![(2.0, 4.0), (3.0, 1.0)];
    for load in [0.1, 0.4, 0.7, 0.95] {
        let rate = load * 11.0;
        let best = response(&kinds, &halb_shares(&kinds, Some(rate)), rate);
        for p in 0..=1000 {
            let p = f64::from(p) / 1000.0;
            assert!(response(&kinds, &[p, 1.0 - p], rate) >= best - 1e-9, "load {load}, split {p}");
        }
    }
}

#[test]
fn simulated_stations_match_the_formula() {
    let kinds = vec![(1.0, 4.0), (2.0, 1.0)];
    let shares = halb_shares(&kinds, Some(3.0));
    let (mean, half) = simulate(&kinds, &shares, 3.0, 60_000, 4);
    let due = response(&kinds, &shares, 3.0);
    assert!((mean - due).abs() < 2.0 * half, "{mean} ± {half}, by formula {due}");
}
