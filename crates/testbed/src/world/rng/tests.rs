use super::*;

#[test]
fn ranks_follow_zipfs_law() {
    let (zipf, mut rng) = (Zipf::new(4, 1.0), Rng::new(5, "test"));
    let mut counts = [0.0; 4];
    (0..40_000).for_each(|_| counts[zipf.draw(&mut rng)] += 1.0 / 40_000.0);
    for (rank, got) in counts.iter().enumerate() {
        let due = 1.0 / (rank + 1) as f64 / (25.0 / 12.0);
        assert!((got - due).abs() < 0.02, "rank {rank}: {got} instead of {due}");
    }
    let drawn = rng.sample(10, 4);
    assert!(drawn.len() == 4 && drawn.windows(2).all(|w| w[0] < w[1]), "{drawn:?}");
}
