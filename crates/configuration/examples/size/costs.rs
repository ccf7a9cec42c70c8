//! Measures the processor time of a change at the source and at a follower.

use crate::workload::{answer, quota_entry};
use lotusdeck_configuration::{decode, Candidate, Follower, FollowerSettings, Message, NextStep, Source};
use lotusdeck_policy::settings::Settings;
use std::time::{Duration, Instant};

const ROUNDS: usize = 9;

/// Processor times of the steps in which a follower applies an answer.
#[derive(Clone, Copy, Default)]
pub(crate) struct Cost {
    decode: Duration,
    verify: Duration,
    settings_object: Duration,
    /// Time of reading the settings object as a proxy does.
    pub(crate) read_settings: Duration,
    commit: Duration,
    /// Time of the longest slice of verifying or committing.
    longest_slice: Duration,
}

/// Decodes and applies the text of an answer as a proxy does, without reading the settings.
fn apply_text(follower: &mut Follower, text: &str) -> Cost {
    let started = Instant::now();
    let message = decode(text.as_bytes()).expect("a message");
    let decode = started.elapsed();
    Cost { decode, ..apply_message(follower, message, false) }
}

/// Applies an answer as a proxy does.
pub(crate) fn apply_message(follower: &mut Follower, message: Message, read_settings: bool) -> Cost {
    let mut cost = Cost::default();
    let now = Duration::ZERO;
    while !matches!(follower.next_step(now), NextStep::Poll(_)) {}
    follower.handle_message(now, message);
    let mut is_validated = false;
    loop {
        let started = Instant::now();
        let step = follower.next_step(now);
        let elapsed = started.elapsed();
        match step {
            NextStep::Continue | NextStep::Applied(_) => {
                *(if is_validated { &mut cost.commit } else { &mut cost.verify }) += elapsed;
                cost.longest_slice = cost.longest_slice.max(elapsed);
                if matches!(step, NextStep::Applied(_)) {
                    return cost;
                }
            }
            NextStep::Validate => {
                let candidate = follower.candidate().expect("a candidate");
                validate(&candidate, read_settings, &mut cost);
                follower.candidate_validated(now, Ok(()));
                is_validated = true;
            }
            other => panic!("{other:?}"),
        }
    }
}

fn validate(candidate: &Candidate<'_>, read_settings: bool, cost: &mut Cost) {
    let started = Instant::now();
    let object = candidate.to_settings().expect("an object");
    cost.settings_object = started.elapsed();
    if read_settings {
        let started = Instant::now();
        Settings::read(&object).expect("valid settings");
        cost.read_settings = started.elapsed();
    }
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn median(costs: &[Cost], span_of: impl Fn(&Cost) -> Duration) -> f64 {
    let mut spans: Vec<Duration> = costs.iter().map(span_of).collect();
    spans.sort_unstable();
    milliseconds(spans[spans.len() / 2])
}

fn print_costs(name: &str, bytes: usize, source_ms: f64, costs: &[Cost]) {
    println!(
        "{name}: {bytes} bytes; ms (medians of {}): source {source_ms:.3}, decode {:.3}, verify {:.3}, object {:.3}, \
         commit {:.3}, longest slice {:.3}",
        costs.len(),
        median(costs, |cost| cost.decode),
        median(costs, |cost| cost.verify),
        median(costs, |cost| cost.settings_object),
        median(costs, |cost| cost.commit),
        median(costs, |cost| cost.longest_slice),
    );
}

/// Measures a delta with `changed` entries.
pub(crate) fn delta(source: &mut Source, changed: usize) {
    let mut follower = Follower::new(FollowerSettings::default(), 1);
    apply_text(&mut follower, &answer(source, None));
    let mut costs = Vec::new();
    let mut source_times = Vec::new();
    let mut bytes = 0;
    for round in 0..ROUNDS {
        let entries = (0..changed).map(|index| quota_entry(index * 331, round as f64)).collect();
        let base = source.version();
        let started = Instant::now();
        source.publish_changes(entries, Vec::new(), |_| Ok(())).expect("published");
        let text = answer(source, Some(base));
        source_times.push(started.elapsed());
        bytes = text.len();
        costs.push(apply_text(&mut follower, &text));
    }
    source_times.sort_unstable();
    print_costs(&format!("{changed} changed"), bytes, milliseconds(source_times[ROUNDS / 2]), &costs);
}

/// Measures a full document at a new follower.
pub(crate) fn full_document(source: &mut Source) {
    let started = Instant::now();
    let text = answer(source, None);
    let source_time = started.elapsed();
    let cost = |_| apply_text(&mut Follower::new(FollowerSettings::default(), 1), &text);
    let costs: Vec<Cost> = (0..ROUNDS).map(cost).collect();
    print_costs("full document", text.len(), milliseconds(source_time), &costs);
}
