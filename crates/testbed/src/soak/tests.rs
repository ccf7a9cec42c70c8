//! Tests of the judge on records that break one rule each, and of the plan.

use super::judge::{judge, Rule};
use super::pace::Pace;
use super::plan::{ListChange, ListMode, ListedState, Move, SoakPlan};
use super::records::*;
use crate::record::TryId;
use crate::world::rng::Rng;
use std::time::Duration;

const PROCESS: ProcessId = ProcessId { proxy: 0, start: 0 };
const ID: TryId = TryId { arrival: 1, no: 0 };

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns a plan in which backend 0 drains at 1 s (version 41) and nothing else happens.
fn plan(mode: ListMode) -> SoakPlan {
    SoakPlan {
        changes: vec![ListChange { at: ms(1_000), backend: 0, state: ListedState::Draining }],
        moves: Vec::new(),
        faults: Vec::new(),
        signals: Vec::new(),
        hangs: Vec::new(),
        crowd_at: None,
        slow_crowds: Vec::new(),
        read_deadline: ms(1_000),
        order_deadline: ms(1_000),
        ..SoakPlan::draw(1, mode, 1)
    }
}

fn request(class: Class, sent_at: Duration, outcome: Outcome) -> ClientRecord {
    ClientRecord { id: ID, proxy: 0, class, sent_at, reused: true, outcome }
}

fn served(at: Duration) -> Outcome {
    Outcome::Answered { status: 200, at }
}

fn attempt(backend: usize, at: Duration) -> AttemptRecord {
    AttemptRecord { id: ID, backend, at, turned_away: false }
}

fn event(at: Duration, event: ProcessEvent) -> ProcessRecord {
    ProcessRecord { process: PROCESS, at, event }
}

/// Returns the broken rules of a request with these attempts, by a process that was started with version 40.
fn broken(
    plan: &SoakPlan, request: ClientRecord, attempts: &[AttemptRecord], events: &[ProcessRecord],
) -> Vec<Rule> {
    let mut processes = vec![event(Duration::ZERO, ProcessEvent::Started { version: 40 })];
    processes.extend_from_slice(events);
    let records =
        Records { requests: vec![request], attempts: attempts.to_vec(), processes, ..Records::default() };
    judge(plan, &records).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_request_to_a_draining_backend_breaks_the_rule_once_its_change_counts_as_notified() {
    let sent = |mode, at: u64, events: &[ProcessRecord]| {
        let at = ms(at);
        broken(&plan(mode), request(Class::Read, at, served(at + ms(9))), &[attempt(0, at)], events)
    };
    // 6 s after the change, and the grace of 0.5 s with the slack of 0.05 s.
    assert_eq!(sent(ListMode::Polled, 7_540, &[]), []);
    assert_eq!(sent(ListMode::Polled, 7_560, &[]), [Rule::Drain]);
    let written = event(ms(1_001), ProcessEvent::Notified { version: 41 });
    assert_eq!(sent(ListMode::Polled, 1_540, &[written]), []);
    assert_eq!(sent(ListMode::Polled, 1_560, &[written]), [Rule::Drain]);
    assert_eq!(sent(ListMode::Pushed, 1_540, &[]), []);
    assert_eq!(sent(ListMode::Pushed, 1_560, &[]), [Rule::Drain]);
    let silent = event(ms(900), ProcessEvent::Silenced { wait_ends_at: ms(9_000) });
    assert_eq!(sent(ListMode::Polled, 11_540, &[silent]), []);
    assert_eq!(sent(ListMode::Polled, 11_560, &[silent]), [Rule::Drain]);
    let closed = event(ms(2_000), ProcessEvent::SilenceEnded { wait_ends_at: ms(9_000) });
    assert_eq!(sent(ListMode::Polled, 8_560, &[silent, closed]), [Rule::Drain]);
}

#[test]
fn a_span_in_which_discovery_refuses_all_calls_begins_the_time_anew() {
    let refusing = Move { at: ms(4_000), refuses_for: ms(2_000), call_time: Duration::ZERO };
    let plan = SoakPlan { moves: vec![refusing], ..plan(ListMode::Polled) };
    let sent = |at: u64| {
        let at = ms(at);
        broken(&plan, request(Class::Read, at, served(at + ms(9))), &[attempt(0, at)], &[])
    };
    assert_eq!(sent(12_540), []);
    assert_eq!(sent(12_560), [Rule::Drain]);
}

#[test]
fn a_request_without_a_final_answer_in_time_is_lost() {
    let plan = plan(ListMode::Polled);
    let judge_one =
        |outcome, attempts: &[_]| broken(&plan, request(Class::Read, ms(100), outcome), attempts, &[]);
    let sent = [attempt(1, ms(101))];
    assert_eq!(judge_one(served(ms(1_640)), &sent), []);
    assert_eq!(judge_one(served(ms(1_660)), &sent), [Rule::Lost]);
    assert_eq!(judge_one(Outcome::Unanswered, &sent), [Rule::Lost]);
    assert_eq!(judge_one(Outcome::Closed { at: ms(150) }, &[]), [], "crossed the end of the connection");
    assert_eq!(judge_one(Outcome::Closed { at: ms(150) }, &sent), [Rule::Lost], "it was read");
    assert_eq!(judge_one(Outcome::Closed { at: ms(210) }, &[]), [Rule::Lost], "too late to have crossed");
    assert_eq!(judge_one(Outcome::Left { at: ms(120) }, &[attempt(1, ms(260))]), []);
    assert_eq!(judge_one(Outcome::Left { at: ms(120) }, &[attempt(1, ms(280))]), [Rule::Lost]);
}

#[test]
fn an_order_that_runs_twice_or_is_refused_after_it_was_sent_is_a_duplicate() {
    let plan = plan(ListMode::Polled);
    let order =
        |outcome, attempts: &[_]| broken(&plan, request(Class::Order, ms(100), outcome), attempts, &[]);
    let (first, second) = (attempt(1, ms(101)), attempt(2, ms(150)));
    let turned_away = AttemptRecord { turned_away: true, ..first };
    let refused = Outcome::Answered { status: 503, at: ms(200) };
    assert_eq!(order(served(ms(200)), &[turned_away, second]), []);
    assert_eq!(order(served(ms(200)), &[first, second]), [Rule::Duplicate]);
    assert_eq!(order(refused, &[turned_away]), []);
    assert_eq!(order(refused, &[first]), [Rule::Duplicate]);
}

#[test]
fn a_process_that_ends_by_itself_has_crashed() {
    let plan = plan(ListMode::Polled);
    let ended = |expected| event(ms(500), ProcessEvent::Ended { killed: false, expected });
    let read = request(Class::Read, ms(100), served(ms(120)));
    assert_eq!(broken(&plan, read, &[], &[ended(true)]), []);
    assert_eq!(broken(&plan, read, &[], &[ended(false)]), [Rule::Crash]);
}

/// Returns a request for a long answer that is sent at 1 s and began at 1.5 s.
fn long_answer(status: u16, is_whole: bool) -> BodyRecord {
    BodyRecord {
        id: ID,
        proxy: 0,
        class: Class::Read,
        kind: BodyKind::LongAnswer,
        started_at: ms(800),
        sent_at: ms(1_000),
        deadline: ms(1_000),
        is_written: true,
        began_at: Some(ms(1_500)),
        status: Some(status),
        is_whole,
        looks_whole: is_whole,
        body_bytes: 0,
        ended_at: ms(2_400),
    }
}

/// Returns the broken rules of a request with a large body or answer.
fn broken_by_body(
    plan: &SoakPlan, body: BodyRecord, begun_at: Option<Duration>, events: &[ProcessRecord],
) -> Vec<Rule> {
    let begun = begun_at.map(|at| BegunAnswer { id: ID, backend: 1, at, takes: ms(500) });
    let records = Records {
        bodies: vec![body],
        begun_answers: begun.into_iter().collect(),
        processes: events.to_vec(),
        ..Records::default()
    };
    judge(plan, &records).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn an_answer_that_its_backend_began_in_time_is_not_cut_off() {
    let plan = plan(ListMode::Polled);
    let judge_one = |body, begun_at| broken_by_body(&plan, body, begun_at, &[]);
    assert_eq!(judge_one(long_answer(200, true), Some(ms(1_010))), []);
    assert_eq!(judge_one(long_answer(200, false), Some(ms(1_010))), [Rule::Cut]);
    assert_eq!(judge_one(long_answer(503, false), Some(ms(1_010))), [Rule::Cut]);
    assert_eq!(judge_one(long_answer(503, false), Some(ms(1_950))), [], "it began too late");
    assert_eq!(judge_one(long_answer(503, false), None), []);
    let short = |status, at| {
        judge_one(BodyRecord { kind: BodyKind::ShortAnswer, ..long_answer(status, false) }, Some(ms(at)))
    };
    assert_eq!(short(502, 1_350), [Rule::Cut]);
    assert_eq!(short(502, 1_450), [], "its end comes too late");
    let restarted = SoakPlan {
        changes: vec![ListChange { at: ms(1_800), backend: 1, state: ListedState::Ready }],
        ..plan.clone()
    };
    assert_eq!(broken_by_body(&restarted, long_answer(200, false), Some(ms(1_010)), &[]), []);
    let unnoticed = BodyRecord { looks_whole: true, ..long_answer(200, false) };
    assert_eq!(broken_by_body(&restarted, unnoticed, Some(ms(1_010)), &[]), [Rule::Cut]);
}

#[test]
fn a_large_request_is_answered_in_its_time() {
    let plan = plan(ListMode::Polled);
    let answered = |began_at| {
        let body = BodyRecord { kind: BodyKind::LargeRequest, began_at, ..long_answer(502, false) };
        broken_by_body(&plan, body, None, &[])
    };
    assert_eq!(answered(Some(ms(2_540))), []);
    assert_eq!(answered(Some(ms(2_560))), [Rule::Lost]);
    assert_eq!(answered(None), [Rule::Lost]);
    let body = BodyRecord { kind: BodyKind::LargeRequest, ..long_answer(408, false) };
    let with_memory = SoakPlan { has_least_memory: false, ..plan.clone() };
    assert_eq!(broken_by_body(&with_memory, body, None, &[]), [Rule::Cut], "its client only paused");
    let read_whole = |status| {
        let body = BodyRecord { kind: BodyKind::LargeRequest, ..long_answer(status, false) };
        broken_by_body(&plan, body, Some(ms(1_400)), &[])
    };
    assert_eq!(read_whole(200), []);
    assert_eq!(read_whole(502), [Rule::Cut], "its backend answered in time");
}

#[test]
fn a_request_behind_a_silent_backend_is_answered_and_ends() {
    let plan = plan(ListMode::Polled);
    let ended = |status, ended_at| {
        let body = BodyRecord { kind: BodyKind::SilentAnswer, ended_at, ..long_answer(status, false) };
        broken_by_body(&plan, body, Some(ms(1_010)), &[])
    };
    assert_eq!(ended(502, ms(2_010)), []);
    assert_eq!(ended(200, ms(4_040)), [], "it has begun in time");
    assert_eq!(ended(200, ms(4_060)), [Rule::Lost]);
}

#[test]
fn an_order_with_a_slow_answer_runs_once() {
    let plan = plan(ListMode::Polled);
    let judge_one = |class, status, attempts: &[AttemptRecord]| {
        let body = BodyRecord { class, ..long_answer(status, status == 200) };
        let records = Records { bodies: vec![body], attempts: attempts.to_vec(), ..Records::default() };
        judge(&plan, &records).into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    let attempts = [attempt(1, ms(1_001)), attempt(2, ms(1_301))];
    assert_eq!(judge_one(Class::Order, 200, &attempts[..1]), []);
    assert_eq!(judge_one(Class::Order, 200, &attempts), [Rule::Duplicate]);
    assert_eq!(judge_one(Class::Order, 503, &attempts[..1]), [Rule::Duplicate]);
    assert_eq!(judge_one(Class::Read, 200, &attempts), []);
}

#[test]
fn the_target_of_a_request_tells_its_pace() {
    let mut rng = Rng::new(3, "pace");
    for _ in 0..200 {
        let pace = Pace::draw(&mut rng);
        assert_eq!(Pace::parse(&pace.target()), Some(pace));
    }
    for target in ["/read/k1", "/read/long/9/1/1/1", "/read/long/1/1", "/other/long/1/1/1/1"] {
        assert_eq!(Pace::parse(target), None, "{target}");
    }
}

/// Only the kill, which comes at the earliest allowed time after SIGTERM, or without notice, excuses an open request.
#[test]
fn a_process_that_ends_early_loses_what_is_open() {
    let plan = plan(ListMode::Polled); // killed 1.7 s after SIGTERM at the earliest
    let ended = |stopped_at, killed| {
        let stopping = event(ms(stopped_at), ProcessEvent::Stopping);
        let end = event(ms(2_400), ProcessEvent::Ended { killed, expected: true });
        broken_by_body(&plan, long_answer(200, false), Some(ms(1_010)), &[stopping, end])
    };
    assert_eq!(ended(700, true), []);
    assert_eq!(ended(700, false), [], "it would have been killed then");
    assert_eq!(ended(1_200, false), [Rule::Cut]);
    let kill = [ProcessEvent::Killed, ProcessEvent::Ended { killed: true, expected: true }]
        .map(|e| event(ms(2_400), e));
    assert_eq!(broken_by_body(&plan, long_answer(200, false), Some(ms(1_010)), &kill), []);
    let killed_at = |at| {
        let kill = kill.map(|record| ProcessRecord { at: ms(at), ..record });
        let body = BodyRecord { kind: BodyKind::LargeRequest, began_at: None, ..long_answer(502, false) };
        broken_by_body(&plan, body, None, &kill)
    };
    assert_eq!(killed_at(900), [], "its client was still writing");
    assert_eq!(killed_at(790), [Rule::Lost], "it had not begun");
    let closed = request(Class::Read, ms(2_000), Outcome::Closed { at: ms(2_395) });
    assert_eq!(broken(&plan, closed, &[attempt(1, ms(2_001))], &kill), []);
    assert_eq!(broken(&plan, closed, &[attempt(1, ms(2_001))], &[]), [Rule::Lost]);
}

#[test]
fn a_process_takes_no_more_memory_than_its_limit() {
    for (has_least_memory, limit_mb) in [(true, 32), (false, 192)] {
        let plan = SoakPlan { has_least_memory, ..plan(ListMode::Polled) };
        let rules = |kib| {
            let peaks = vec![PeakRecord { process: PROCESS, at: ms(1_000), kib }];
            let records = Records { peaks, ..Records::default() };
            judge(&plan, &records).into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
        };
        assert_eq!(rules(limit_mb << 10), []);
        assert_eq!(rules((limit_mb << 10) + 1), [Rule::Memory]);
    }
}

#[test]
fn a_seed_draws_the_same_plan_each_time() {
    let text = |seed| format!("{:?}", SoakPlan::draw(seed, ListMode::Polled, 35));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}
