use super::*;

fn build() -> Build {
    Build { cores: 1.0, speed: 2.0, slots: 2, room: 1, drag: 0.0, cold_from: 0.5, ramp: Micros(1_000_000) }
}

fn ends(station: &mut Station, by: u64) -> Vec<(u64, Ticket)> {
    let mut ended = Vec::new();
    station.due(Time(by), &mut ended);
    ended.into_iter().map(|(at, ticket)| (at.0, ticket)).collect()
}

/// Two equal pieces on one core of double speed end together, after their total work divided by the speed. A third
/// waits for a slot, and a fourth is rejected.
#[test]
fn cores_are_shared_evenly_and_the_bounds_hold() {
    let mut s = Station::new(build(), None, Time(0));
    assert!(s.submit(Time(0), 1, 0.1) && s.submit(Time(0), 2, 0.1) && s.submit(Time(0), 3, 0.1));
    assert!(!s.submit(Time(0), 4, 0.1) && s.held() == 3 && s.waiting() == 1);
    let ended = ends(&mut s, 1_000_000);
    let near = |at: u64, aim: u64| at.abs_diff(aim) <= 2;
    assert!(near(ended[0].0, 100_000) && near(ended[1].0, 100_000), "{ended:?}");
    assert!(near(ended[2].0, 150_000) && ended[2].1 == 3, "{ended:?}");
    assert!((s.done() - 0.3).abs() < 1e-4, "{}", s.done());
}

/// The other piece gets the share of a withdrawn one, and nothing ends while the station is stopped.
#[test]
fn withdrawn_work_frees_its_share_and_a_hang_ends_nothing() {
    let mut s = Station::new(build(), None, Time(0));
    assert!(s.submit(Time(0), 1, 0.1) && s.submit(Time(0), 2, 0.1));
    assert!(s.withdraw(Time(50_000), 1) && !s.withdraw(Time(50_000), 1));
    s.slow(Time(60_000), 0.0);
    assert!(ends(&mut s, 900_000).is_empty() && s.next().is_none());
    s.slow(Time(900_000), 1.0);
    let ended = ends(&mut s, 2_000_000);
    assert!(ended.len() == 1 && ended[0].0.abs_diff(915_000) <= 2, "{ended:?}");
}

/// The speed rises from half to full within one second, so 0.75 core-seconds of work take that second.
#[test]
fn a_cold_station_gains_speed() {
    let mut s = Station::new(Build { speed: 1.0, ..build() }, Some(Time(0)), Time(0));
    assert!(s.submit(Time(0), 1, 0.75) && s.capacity(Time(500_000)) == 0.75);
    let ended = ends(&mut s, 2_000_000);
    assert!(ended[0].0.abs_diff(1_000_000) < 1_000, "{ended:?}");
}
