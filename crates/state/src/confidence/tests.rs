use super::{choose_endpoint_source, Age, Confidence, EndpointSource};

#[test]
fn confidence_halves_with_each_half_life_and_is_insufficient_after_two() {
    let at = |ms: u64| Confidence::at_age(Age::of(100_000_000 - ms, 100_000_000), 60_000);
    assert_eq!(at(0), Confidence(1.0));
    assert!((at(60_000).0 - 0.5).abs() < 1e-12);
    assert!(at(120_000).is_sufficient() && !at(120_001).is_sufficient());
    assert!(!at(3 * 3_600_000).is_sufficient(), "hours old");
}

#[test]
fn clock_stepped_back_leaves_no_confidence_and_small_differences_are_tolerated() {
    assert_eq!(Age::of(5_000, 4_500), Age::Known(0));
    assert_eq!(Age::of(10_000, 4_500), Age::Future(5_500));
    assert_eq!(Confidence::at_age(Age::Future(5_500), 60_000), Confidence(0.0));
}

#[test]
fn newer_list_is_chosen_and_a_saved_one_never_without_confidence() {
    let full_confidence = Confidence(1.0);
    assert_eq!(choose_endpoint_source(9, full_confidence, 4, 10), EndpointSource::SavedEndpoints);
    assert_eq!(choose_endpoint_source(4, full_confidence, 9, 10), EndpointSource::PlatformEndpoints);
    assert_eq!(
        choose_endpoint_source(4, full_confidence, 9, 0),
        EndpointSource::SavedEndpoints,
        "the platform's list is empty"
    );
    assert_eq!(choose_endpoint_source(9, Confidence(0.2), 4, 0), EndpointSource::Untrusted(Confidence(0.2)));
}
