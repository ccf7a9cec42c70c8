use super::*;

const WEIGHING: AgeWeighting =
    AgeWeighting { now_ms: 1_000_000, half_life_ms: 60_000, window_ms: 2_000, write_interval_ms: 1_000 };

fn learned(age_ms: u64) -> Estimates {
    let mean = WeightedMean { value: 0.02, samples: 100.0 };
    let spent = |backend: &str, ago_ms, work| WarmupSpend { backend: backend.into(), ago_ms, work };
    Estimates {
        site: "s".into(),
        proxy: "p".into(),
        written_ms: WEIGHING.now_ms - age_ms,
        overall_latency: mean,
        class_latency: vec![("page".into(), mean)],
        kinds: vec![("big".into(), mean, WeightedMean { value: 30.0, samples: 40.0 })],
        ejected: vec![("ill".into(), 2), ("anew".into(), 1), ("left".into(), 1)],
        warmup_spend: vec![spent("ill", 100, 4.0), spent("ill", 1_500, 2.0), spent("anew", 100, 9.0)],
    }
}

/// `anew` started after the writing, `left` is not on the list.
fn since(name: &str) -> Option<u64> {
    match name {
        "ill" => Some(0),
        "anew" => Some(WEIGHING.now_ms),
        _ => None,
    }
}

#[test]
fn means_are_worth_less_with_age_and_nothing_past_two_half_lives() {
    let at = |age_ms| learned(age_ms).discounted(WEIGHING, since);
    assert_eq!(at(0).overall_latency.samples, 100.0);
    let half = at(60_000);
    assert!((half.kinds[0].1.samples - 50.0).abs() < 1e-9 && (half.kinds[0].2.samples - 20.0).abs() < 1e-9);
    assert_eq!(half.kinds[0].1.value, 0.02, "the mean itself stays");
    assert_eq!(half.ejected, [("ill".to_string(), 2)]);
    let nothing = Estimates { ejected: vec![], ..Estimates::default() };
    let old = at(120_001);
    assert_eq!(
        (&old.class_latency, &old.kinds, &old.ejected, &old.warmup_spend),
        (&nothing.class_latency, &nothing.kinds, &nothing.ejected, &nothing.warmup_spend)
    );
    assert_eq!(at(0).written_ms, WEIGHING.now_ms);
}

/// A clock stepped back, so that the file comes from the future, leaves nothing of it.
#[test]
fn a_memory_from_the_future_is_not_believed() {
    let early = AgeWeighting { now_ms: WEIGHING.now_ms - 5_000, ..WEIGHING };
    let left = learned(0).discounted(early, since);
    assert!(left.kinds.is_empty() && left.warmup_spend.is_empty() && left.ejected.is_empty());
    assert_eq!(left.overall_latency, WeightedMean::default());
}

/// 6 of work in a window of 2 s, written 0.6 s ago: what is still inside the window, and 0.6 / 2 of it more.
#[test]
fn spending_is_taken_to_have_gone_on_between_writing_and_death() {
    let left = learned(600).discounted(WEIGHING, since);
    let told: Vec<(&str, u64)> = left.warmup_spend.iter().map(|s| (&*s.backend, s.ago_ms)).collect();
    assert_eq!(told, [("ill", 700), ("ill", 0)], "the older slot has left the window");
    assert!((left.warmup_spend[1].work - 1.8).abs() < 1e-9);
    let late = learned(1_800).discounted(WEIGHING, since);
    assert_eq!(
        late.warmup_spend.iter().map(|s| s.ago_ms).collect::<Vec<_>>(),
        [1_900, 800],
        "one interval at most"
    );
    assert!((late.warmup_spend[1].work - 3.0).abs() < 1e-9);
    assert!(
        learned(3_100).discounted(WEIGHING, since).warmup_spend.is_empty(),
        "no window reaches so far back"
    );
}
