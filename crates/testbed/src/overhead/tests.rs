use super::*;

#[test]
fn the_median_is_the_middle_value() {
    let of = |rates: &[f64]| -> Vec<Point> {
        rates.iter().map(|r| Point { rate: *r, ..Point::default() }).collect()
    };
    assert_eq!(median(&of(&[3.0, 1.0, 100.0]), |p| p.rate), 3.0);
    assert_eq!(median(&[], |p| p.rate), 0.0);
}
