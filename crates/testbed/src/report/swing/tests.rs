use super::*;
use crate::world::rng::Rng;

/// The period of a wave within noise is found, and noise alone stays below the threshold.
#[test]
fn a_period_is_found_and_chance_is_not() {
    let mut rng = Rng::new(4, "swing");
    let noise: Vec<f64> = (0..300).map(|_| rng.unit()).collect();
    assert_eq!(strongest_period(&noise), None);
    let wave = |(t, x): (usize, &f64)| x + 0.5 * (std::f64::consts::TAU * t as f64 / 20.0).sin();
    let waved: Vec<f64> = noise.iter().enumerate().map(wave).collect();
    let (period, power) = strongest_period(&waved).unwrap();
    assert!((period - 2.0).abs() < 0.1 && power > 10.0, "{period} {power}");
}
