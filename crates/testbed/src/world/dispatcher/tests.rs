use super::*;

#[test]
fn distributes_in_turn_or_by_weight_and_skips_shunned_proxies() {
    let mut even = RequestDispatcher::new(3, 0.0, 1);
    assert_eq!((0..4).map(|_| even.next(|_| false)).collect::<Vec<_>>(), [0, 1, 2, 0]);
    assert_eq!((even.next(|p| p == 1), even.next(|_| true)), (2, 2));
    let (mut skewed, mut counts) = (RequestDispatcher::new(3, 1.0, 1), [0.0; 3]);
    (0..30_000).for_each(|_| counts[skewed.next(|_| false)] += 1.0 / 30_000.0);
    for (p, got) in counts.iter().enumerate() {
        let due = 1.0 / (p + 1) as f64 / (11.0 / 6.0);
        assert!((got - due).abs() < 0.02, "proxy {p}: {got} instead of {due}");
    }
}
