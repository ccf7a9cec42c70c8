use super::{
    AgeWeighting, ClassLatency, EjectedBackend, Estimates, KindEstimates, WarmupSpend, WeightedMean,
};

const WEIGHTING: AgeWeighting =
    AgeWeighting { now_ms: 1_000_000, half_life_ms: 60_000, window_ms: 2_000, write_interval_ms: 1_000 };

fn ejected(backend: &str, consecutive_ejections: u32) -> EjectedBackend {
    EjectedBackend { backend: backend.into(), consecutive_ejections }
}

fn spend(backend: &str, ago_ms: u64, work: f64) -> WarmupSpend {
    WarmupSpend { backend: backend.into(), ago_ms, work }
}

/// Returns estimates written `age_ms` ago.
fn estimates(age_ms: u64) -> Estimates {
    let mean = WeightedMean { value: 0.02, samples: 100.0 };
    let flow = WeightedMean { value: 30.0, samples: 40.0 };
    Estimates {
        site: "s".into(),
        proxy: "p".into(),
        written_ms: WEIGHTING.now_ms - age_ms,
        overall_latency: mean,
        class_latency: vec![ClassLatency { class: "page".into(), latency: mean }],
        kinds: vec![KindEstimates { kind: "big".into(), latency: mean, flow }],
        ejected: vec![ejected("unhealthy", 2), ejected("restarted", 1), ejected("removed", 1)],
        warmup_spend: vec![
            spend("unhealthy", 100, 4.0),
            spend("unhealthy", 1_500, 2.0),
            spend("restarted", 100, 9.0),
        ],
    }
}

/// Returns when a backend started: `restarted` after the writing; `removed` is not listed.
fn started_at_ms(backend: &str) -> Option<u64> {
    match backend {
        "unhealthy" => Some(0),
        "restarted" => Some(WEIGHTING.now_ms),
        _ => None,
    }
}

#[test]
fn samples_halve_with_each_half_life_and_estimates_end_after_two() {
    let at = |age_ms| estimates(age_ms).discounted(WEIGHTING, started_at_ms);
    assert_eq!(at(0).overall_latency.samples, 100.0);
    let half = at(60_000);
    let kind = &half.kinds[0];
    assert!((kind.latency.samples - 50.0).abs() < 1e-9 && (kind.flow.samples - 20.0).abs() < 1e-9);
    assert_eq!(kind.latency.value, 0.02, "the mean is not discounted");
    assert_eq!(half.ejected, [ejected("unhealthy", 2)]);
    let nothing = Estimates { ejected: vec![], ..Estimates::default() };
    let old = at(120_001);
    assert_eq!(
        (&old.class_latency, &old.kinds, &old.ejected, &old.warmup_spend),
        (&nothing.class_latency, &nothing.kinds, &nothing.ejected, &nothing.warmup_spend)
    );
    assert_eq!(at(0).written_ms, WEIGHTING.now_ms);
}

/// If the clock is stepped back, the time of writing is in the future.
#[test]
fn estimates_from_the_future_are_discarded() {
    let early = AgeWeighting { now_ms: WEIGHTING.now_ms - 5_000, ..WEIGHTING };
    let discounted = estimates(0).discounted(early, started_at_ms);
    assert!(
        discounted.kinds.is_empty() && discounted.warmup_spend.is_empty() && discounted.ejected.is_empty()
    );
    assert_eq!(discounted.overall_latency, WeightedMean::default());
}

/// A file written 0.6 s ago with work of 6 in a window of 2 s yields the work still inside the window and 0.6 / 2 of
/// the 6.
#[test]
fn warmup_work_is_assumed_to_continue_for_at_most_one_write_interval() {
    let discounted = estimates(600).discounted(WEIGHTING, started_at_ms);
    let sent: Vec<(&str, u64)> = discounted.warmup_spend.iter().map(|s| (&*s.backend, s.ago_ms)).collect();
    assert_eq!(sent, [("unhealthy", 700), ("unhealthy", 0)], "the older entry has left the window");
    assert!((discounted.warmup_spend[1].work - 1.8).abs() < 1e-9);
    let late = estimates(1_800).discounted(WEIGHTING, started_at_ms);
    assert_eq!(
        late.warmup_spend.iter().map(|s| s.ago_ms).collect::<Vec<_>>(),
        [1_900, 800],
        "one interval at most"
    );
    assert!((late.warmup_spend[1].work - 3.0).abs() < 1e-9);
    assert!(
        estimates(3_100).discounted(WEIGHTING, started_at_ms).warmup_spend.is_empty(),
        "all of it has left the window"
    );
}
