//! Tests of the schedule, alone and in simulated fleets of proxies that follow it.

mod model;

use super::*;
use model::{Discovery, Fault, Fleet, Outcome, Strategy, STEP};

/// Time after which a change counts as notified once discovery had it and could be reached, regardless of earlier
/// failures.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Longest delay of a proxy between reading its clock and writing.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);
/// Slowest answer of discovery with which that time can be kept.
const SLOW_ANSWER: Duration = Duration::from_millis(2_500);

fn silent_polls(ages_s: &[u64], now: Instant) -> Vec<PollProgress> {
    let poll = |age: &u64| PollProgress::new(now - Duration::from_secs(*age), Duration::ZERO);
    ages_s.iter().map(poll).collect()
}

fn fifo_discovery(service_time: Duration) -> Discovery {
    Discovery { service_time, queue_timeout: None, serves_abandoned: true, faults: Vec::new() }
}

/// Guards against bounds on silence, pause and answer whose sum exceeds the time after which a change counts as
/// notified.
#[test]
fn a_change_is_received_in_time_after_silent_and_refused_polls_in_any_order() {
    use Fault::{Refused, Silent};
    let orders: [&[Fault]; 5] = [&[], &[Silent], &[Refused], &[Silent, Refused], &[Refused, Silent]];
    for faults in orders {
        let mut longest = Duration::ZERO;
        for seed in 0..200 {
            let discovery = Discovery { faults: faults.to_vec(), ..fifo_discovery(SLOW_ANSWER) };
            let fleet = Fleet::new(1, Strategy::KeepTurn, discovery, 8, seed);
            let outcome = fleet.run(2 * NOTIFIED_AFTER);
            let received = outcome.received_after.first().copied();
            let is_in_time = received.is_some_and(|received| received + MAX_WRITE_DELAY < NOTIFIED_AFTER);
            assert!(is_in_time, "seed {seed}, {faults:?}: received after {received:?}");
            longest = longest.max(received.unwrap_or_default());
        }
        println!("{faults:?}: received after {longest:?} at most (seeds 0 to 199)");
    }
}

/// Guards against polls that lose their place in the queue of a slow discovery: each proxy of a fleet has received
/// the change by the time at which a discovery that handles first polls in order has answered them.
#[test]
fn a_fleet_is_answered_on_its_first_polls_where_discovery_handles_them_in_order() {
    for (proxies, service_ms) in [(1, 2_500), (30, 50), (30, 250), (300, 50), (900, 50)] {
        let service_time = Duration::from_millis(service_ms);
        let fleet = Fleet::new(proxies, Strategy::KeepTurn, fifo_discovery(service_time), 0, 1);
        let outcome = fleet.run(Duration::from_secs(60));
        let first_polls_time = service_time * proxies;
        let steps = STEP * (proxies + 1); // an answer is noticed at the end of a step
        let received = outcome.share_received_after(proxies as usize, 1.0);
        let bound = first_polls_time + steps;
        assert!(
            received.is_some_and(|received| received <= bound),
            "{proxies} proxies, {service_ms} ms a poll: received after {received:?}, bound {bound:?}"
        );
    }
}

/// Prints the table of docs/crossings.md: `cargo test -p lotusdeck-proxy --lib discovery::schedule -- --nocapture`.
#[test]
fn as_many_proxies_receive_a_change_in_time_as_where_silent_polls_are_given_up() {
    println!("discovery | proxies | strategy | half hold it after | all | longest queue | polls");
    for proxies in [1, 30, 300, 900] {
        for (name, discovery) in discoveries() {
            let run = |strategy| {
                let outcome =
                    Fleet::new(proxies, strategy, discovery.clone(), 0, 1).run(Duration::from_secs(60));
                println!("{name} | {proxies} | {strategy:?} | {}", table_row(&outcome, proxies as usize));
                outcome.received_after.iter().filter(|received| **received < NOTIFIED_AFTER).count()
            };
            let given_up = run(Strategy::GiveUp);
            let kept = run(Strategy::KeepTurn);
            run(Strategy::KeepTurnSpread);
            assert!(
                kept >= given_up,
                "{name}, {proxies} proxies: {kept} in time, {given_up} if silent polls are given up"
            );
        }
    }
}

fn discoveries() -> Vec<(String, Discovery)> {
    let mut discoveries = Vec::new();
    for service_ms in [50, 250, 2_500] {
        let fifo_discovery = fifo_discovery(Duration::from_millis(service_ms));
        let skipping = Discovery { serves_abandoned: false, ..fifo_discovery.clone() };
        let with_queue_timeout =
            Discovery { queue_timeout: Some(Duration::from_secs(1)), ..fifo_discovery.clone() };
        discoveries.push((format!("{service_ms} ms, in turn"), fifo_discovery));
        discoveries.push((format!("{service_ms} ms, passes over calls that were given up"), skipping));
        discoveries.push((format!("{service_ms} ms, 503 after 1 s"), with_queue_timeout));
    }
    discoveries
}

fn table_row(outcome: &Outcome, proxies: usize) -> String {
    let after = |share| match outcome.share_received_after(proxies, share) {
        Some(received) => format!("{:.2} s", received.as_secs_f64()),
        None => "not in 60 s".to_string(),
    };
    format!("{} | {} | {} | {}", after(0.5), after(1.0), outcome.longest_queue, outcome.polls)
}

#[test]
fn the_oldest_poll_keeps_its_place_and_the_two_newest_have_twice_the_silence_timeout() {
    let now = Instant::now() + Duration::from_secs(60);
    assert_eq!(superseded(&silent_polls(&[4, 2], now)), None, "there is a free slot");
    assert_eq!(superseded(&silent_polls(&[6, 4, 2], now)), Some(1));
    let mut polls = silent_polls(&[6, 4, 2], now);
    polls[1].received = Some(ReceivedSpan { first: now, last: now });
    assert_eq!(superseded(&polls), Some(2), "a poll whose answer has begun is not dropped");
    polls[2].received = polls[1].received;
    assert_eq!((superseded(&polls), extra_poll_at(&polls, now, true)), (None, None));
}

#[test]
fn another_poll_is_opened_when_the_newest_is_silent_and_not_sooner_than_the_spacing() {
    let now = Instant::now() + Duration::from_secs(60);
    let polls = silent_polls(&[4, 1], now);
    let due = polls[1].opened_at + SILENCE_TIMEOUT;
    assert_eq!(extra_poll_at(&polls, polls[1].opened_at, true), Some(due));
    let refused_at = now; // the newest failed at once
    assert_eq!(extra_poll_at(&polls[..1], refused_at, true), Some(refused_at + MIN_POLL_SPACING));
}

#[test]
fn a_poll_is_given_up_when_its_answer_stalls_or_takes_too_long_or_never_begins() {
    let now = Instant::now();
    let mut poll = PollProgress::new(now, Duration::from_secs(10));
    assert_eq!(poll.times_out_at(), now + Duration::from_secs(10) + MAX_QUEUE_TIME);
    let second = Duration::from_secs(1);
    poll.received = Some(ReceivedSpan { first: now, last: now + second });
    assert_eq!(
        (poll.delay_reason(), poll.times_out_at()),
        (DelayReason::Incomplete, now + second + STALL_TIMEOUT)
    );
    poll.received = Some(ReceivedSpan { first: now, last: now + MAX_ANSWER_TIME - second });
    assert_eq!(poll.times_out_at(), now + MAX_ANSWER_TIME);
}
