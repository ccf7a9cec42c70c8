use super::super::tests::*;
use crate::record::{Observation, ProxyEvent};

#[test]
fn two_answers_a_late_one_and_none_are_reported() {
    let two = [served(READ, 0), served(READ, 0)].concat();
    assert!(broken(&two)[0].1.contains("more than one"));
    let mut extra = served(READ, 0);
    extra.push(at(30, Observation::Extra { id: READ }));
    assert!(broken(&extra)[0].1.contains("more than one"));
    let mut late = served(READ, 0);
    late[3] = at(600, late[3].what.clone());
    assert!(broken(&late)[0].1.contains("0.600 s after"));
    let none = [
        at(0, Observation::Asked { id: READ, proxy: 0, left: 500_000 }),
        at(900, Observation::Left { id: READ }),
    ];
    assert!(broken(&none)[0].1.contains("never answered"));
    assert!(broken(&none[..1])[0].1.contains("never answered"), "the run ended without an answer");
    let left = [none[0].clone(), at(100, Observation::Left { id: READ })];
    assert!(broken(&left).is_empty(), "a client that leaves early needs no answer");
}

/// A broken connection counts as a missing answer, except where the proxy was killed or its close crossed the
/// request.
#[test]
fn a_broken_connection_is_distinguished_from_a_killed_proxy() {
    let broke = |reused, begun| at(50, Observation::Broke { id: READ, reused, begun });
    let asked = at(0, Observation::Asked { id: READ, proxy: 1, left: 500_000 });
    for (reused, begun, lost) in [(false, false, true), (true, true, true), (true, false, false)] {
        let found = broken(&[asked.clone(), broke(reused, begun)]);
        assert_eq!(found.len(), usize::from(lost), "reused {reused} begun {begun}");
    }
    let turn = |proxy, ms, turn| at(ms, Observation::Proxy { proxy, turn });
    let with = |t| broken(&[asked.clone(), broke(false, false), t]).len();
    assert_eq!(with(turn(1, 40, ProxyEvent::Killed)), 0);
    let dead =
        [turn(1, 0, ProxyEvent::Killed), at(10, Observation::Asked { id: READ, proxy: 1, left: 500_000 })];
    let asked_of_the_dead = [dead[0].clone(), dead[1].clone(), broke(false, false)];
    assert_eq!(broken(&asked_of_the_dead).len(), 0, "the socket of a killed proxy stays open for a moment");
    assert_eq!(with(turn(0, 40, ProxyEvent::Killed)), 1, "another proxy");
    assert_eq!(with(turn(1, 400, ProxyEvent::Killed)), 1, "killed only after the connection broke");
    assert_eq!(
        with(turn(1, 0, ProxyEvent::Stopping)),
        1,
        "a request shortly after the stop signal must be answered"
    );
}

/// What happens to the proxy after a broken connection does not change whether the connection counts as lost.
#[test]
fn a_request_to_a_dead_proxy_is_excused_also_if_its_next_process_is_killed() {
    let turn = |ms, turn| at(ms, Observation::Proxy { proxy: 1, turn });
    let asked = |ms| at(ms, Observation::Asked { id: READ, proxy: 1, left: 500_000 });
    let broke = at(50, Observation::Broke { id: READ, reused: false, begun: false });
    let killed_at_0 = turn(0, ProxyEvent::Killed);
    let later = [turn(100, ProxyEvent::Ready), turn(400, ProxyEvent::Killed)];
    let of_the_dead = [killed_at_0.clone(), asked(10), broke.clone()];
    assert!(broken(&of_the_dead).is_empty());
    assert!(broken(&[&of_the_dead[..], &later].concat()).is_empty());
    let of_the_next = [killed_at_0, turn(5, ProxyEvent::Ready), asked(10), broke];
    assert_eq!(broken(&of_the_next).len(), 1, "the next process was ready");
    assert_eq!(broken(&[&of_the_next[..], &later].concat()).len(), 1);
}
