//! What follows when the answer of an attempt pauses.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;
use common::{backend, class, Host};
use lotusdeck_policy::*;

const TIME_LEFT: u64 = 2_000_000;
const SERVICE_TIME: u64 = 20_000;
const PAUSE: u64 = 300_000;

/// Returns a host that has served enough requests to have budget for further attempts. Class 0 has no side effects, class
/// 1 is non-idempotent, class 2 has idempotency keys that backends of one cell share.
fn host(allow_hedging: bool, backends: u32) -> Host {
    let window = Micros(500_000);
    let key = SideEffects::IdempotencyKey { scope: KeyScope::Cell, window };
    let classes = [SideEffects::None, SideEffects::NonIdempotent, key]
        .map(|side_effects| Class { latency_objective: Micros(1_000_000), ..class(side_effects) });
    let mut config = Config { classes: classes.to_vec(), ..Config::example() };
    config.attempts.allow_hedging = allow_hedging;
    config.attempts.max_attempts = 4;
    let mut host = Host::new(config, 5);
    host.update_endpoints(ListUpdate::Full, (0..backends).map(|id| backend(id, 0, 0)).collect());
    for _ in 0..60 {
        host.submit(0, TIME_LEFT);
        host.serve_all(SERVICE_TIME);
    }
    host
}

/// Submits a request whose answer pauses after a while.
fn paused_request(host: &mut Host, class: usize) -> RequestId {
    let id = host.submit(class, TIME_LEFT);
    host.advance(PAUSE);
    host.pause_answer(id, 0);
    id
}

#[test]
fn a_repeatable_request_gets_a_hedged_attempt_when_its_answer_pauses() {
    let mut host = host(true, 4);
    let id = paused_request(&mut host, 0);
    assert_eq!((host.sent_to(id).len(), host.in_flight().len()), (2, 2));
    host.pause_answer(id, 1);
    assert_eq!(host.sent_to(id).len(), 3, "the second backend has paused, too");
    host.end_attempt(id, 2, Outcome::Error);
    assert_eq!(host.sent_to(id).len(), 4, "all that is left has paused");
}

#[test]
fn a_request_with_a_key_gets_a_hedged_attempt_within_its_scope_and_window() {
    let mut host = host(true, 6);
    let id = paused_request(&mut host, 2);
    assert_eq!(host.sent_to(id).len(), 2);
    let late = host.submit(2, TIME_LEFT);
    host.advance(600_000);
    host.pause_answer(late, 0);
    assert_eq!(host.sent_to(late).len(), 1, "the window is over");
}

#[test]
fn a_paused_attempt_is_replaced_once_where_only_one_may_be_in_flight() {
    let mut host = host(false, 4);
    let id = paused_request(&mut host, 0);
    assert_eq!(host.cancelled, [(id, 0)]);
    host.advance(10_000);
    assert_eq!(host.sent_to(id).len(), 2);
    host.advance(PAUSE);
    host.pause_answer(id, 1);
    assert_eq!(host.in_flight(), [(id, 1)], "its answer is probably a slow one");
    assert!(host.cancelled.is_empty());
}

#[test]
fn a_paused_attempt_goes_on_where_there_is_nothing_better() {
    for (allow_hedging, backends, class) in [(true, 4, 1), (false, 4, 1), (true, 1, 2), (false, 1, 2)] {
        let mut host = host(allow_hedging, backends);
        let id = paused_request(&mut host, class);
        host.advance(TIME_LEFT / 2);
        assert_eq!(
            host.in_flight(),
            [(id, 0)],
            "hedging {allow_hedging}, {backends} backends, class {class}"
        );
        host.end_attempt(id, 0, Outcome::Success);
        assert_eq!(host.requests[&id].answer, Some("served"));
    }
}

#[test]
fn an_answer_that_goes_on_cancels_the_wait_for_another_backend() {
    let mut host = host(true, 1);
    let id = paused_request(&mut host, 2);
    host.resume_answer(id, 0);
    host.update_endpoints(ListUpdate::Changes, vec![backend(2, 0, 0)]);
    host.advance(100_000);
    assert_eq!(host.sent_to(id).len(), 1);
}

/// Guards against sound backends being ejected since their answers are slow by nature, and against silent ones that
/// are not.
#[test]
fn a_paused_attempt_counts_as_failed_unless_the_served_one_had_paused_too() {
    let count_of = |first_pauses_for_good: bool| {
        let mut host = host(true, 2);
        let first = paused_request(&mut host, 0);
        let slow = host.sent_to(first)[0];
        host.serve_all(SERVICE_TIME);
        let mut chosen = 0;
        for _ in 0..120 {
            let id = host.submit(0, TIME_LEFT);
            chosen += u32::from(host.sent_to(id)[0] == slow);
            host.advance(SERVICE_TIME);
            if host.sent_to(id)[0] != slow {
                host.end_attempt(id, 0, Outcome::Success);
                continue;
            }
            host.pause_answer(id, 0);
            if !first_pauses_for_good {
                host.pause_answer(id, 1);
            }
            let has_hedged_attempt = host.sent_to(id).len() > 1; // unless the budget was used up
            host.end_attempt(id, usize::from(has_hedged_attempt), Outcome::Success);
            host.advance(10_000);
        }
        chosen
    };
    let (sound, silent) = (count_of(false), count_of(true));
    assert!(silent < sound / 2, "chosen {silent} times where it is silent, {sound} where answers are slow");
}

/// Guards against answers that were withdrawn in a pause being taken for lost ones, upon which further attempts are
/// sent for every old one.
#[test]
fn paused_attempts_are_no_load_and_no_sign_of_lost_answers() {
    let mut host = host(true, 4);
    for _ in 0..30 {
        host.burst(3, 0, TIME_LEFT);
        host.serve_all(SERVICE_TIME);
        let id = paused_request(&mut host, 0);
        host.end_attempt(id, 1, Outcome::Success);
        host.advance(10_000);
    }
    let old = host.submit(0, TIME_LEFT);
    host.advance(SERVICE_TIME * 20);
    assert_eq!(host.sent_to(old).len(), 1, "an old attempt is probably a heavy request");
}

/// Guards against a repeatable request that stays with a silent backend, as there was no budget for another attempt when its
/// answer paused.
#[test]
fn a_paused_request_gets_its_hedged_attempt_once_there_is_budget() {
    for goes_on in [false, true] {
        let mut host = host(true, 4);
        let mut waiting = paused_request(&mut host, 0);
        while host.sent_to(waiting).len() > 1 {
            host.end_attempt(waiting, 1, Outcome::Success);
            waiting = paused_request(&mut host, 0);
        }
        if goes_on {
            host.resume_answer(waiting, 0);
        }
        for _ in 0..20 {
            let id = host.submit(0, TIME_LEFT);
            host.advance(1_000);
            host.end_attempt(id, 0, Outcome::Success);
        }
        assert_eq!(host.sent_to(waiting).len(), if goes_on { 1 } else { 2 });
    }
}
