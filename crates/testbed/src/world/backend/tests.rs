use super::*;

fn backend() -> Backend {
    let build = Build {
        cores: 1.0,
        speed: 1.0,
        slots: 4,
        room: 0,
        drag: 0.0,
        cold_from: 0.25,
        ramp: Micros(8_000_000),
    };
    let spec = Spec {
        name: "b".into(),
        kind: "k".into(),
        zone: "z".into(),
        cell: 0,
        build,
        connections: 1,
        handshake: 0.0,
        keys: 2,
        miss: 2.0,
    };
    Backend::new(spec, FallRule { multiple: 2.0, window: Micros(2_000_000) }, Time(0))
}

fn served(b: &mut Backend, now: u64, key: u64) -> u64 {
    b.arrive(Time(now), 9, key, 0.01).unwrap();
    let mut ended = Vec::new();
    b.due(Time(now + 1_000_000), &mut ended);
    ended[0].0 .0 - now
}

#[test]
fn a_known_key_is_cheaper_until_it_is_forgotten() {
    let mut b = backend();
    let near = |t: u64, aim: u64| t.abs_diff(aim) < 10;
    assert!(near(served(&mut b, 0, 1), 20_000) && near(served(&mut b, 2_000_000, 1), 10_000));
    served(&mut b, 4_000_000, 2);
    served(&mut b, 6_000_000, 3);
    assert!(near(served(&mut b, 8_000_000, 1), 20_000), "two other keys have replaced it");
}

#[test]
fn rejects_requests_over_its_connections_and_while_draining() {
    let mut b = backend();
    b.opened(Time(0), 1);
    b.opened(Time(0), 2);
    assert_eq!(b.arrive(Time(0), 3, 1, 0.1), Err(Rejection::Connections));
    b.closed();
    b.set_health(Time(0), Health::Draining);
    assert_eq!(b.arrive(Time(0), 3, 1, 0.1), Err(Rejection::Draining));
}

/// A restarted backend is cold, and the work that reaches it then is compared with its limit.
#[test]
fn a_restarted_backend_is_cold_and_its_pressure_is_measured() {
    let mut b = backend();
    b.set_health(Time(10), Health::Down);
    b.set_health(Time(1_000_000), Health::Up);
    assert_eq!(b.booted, Some(Time(1_000_000)));
    let _ = b.arrive(Time(1_000_000), 1, 1, 0.6);
    let p = b.pressure;
    assert!((p.sent - 1.2).abs() < 1e-9 && (p.limit - 1.0).abs() < 1e-9, "{p:?}");
}
