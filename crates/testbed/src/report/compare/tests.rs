use super::*;

#[test]
fn the_interval_uses_students_t() {
    assert_eq!(interval(&[2.0]), (2.0, None));
    let (mean, half) = interval(&[1.0, 2.0, 3.0]);
    // s = 1 and t(2) = 4.303, so the half-width is t / sqrt(3).
    assert!(mean == 2.0 && (half.unwrap() - 4.303 / 3f64.sqrt()).abs() < 1e-9);
}
