//! Simulates 1,200 followers in virtual time; sending a full document takes as many bytes as the real one has.

use crate::rollout::{Conditions, Rollout};
use crate::workload::{quota_entry, settings, PROXIES};
use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::long_poll::QueueBounds;
use lotusdeck_configuration::Source;
use serde_json::Value;
use std::time::Duration;

/// Number of changes, published one after the other.
const CHANGES: usize = 40;
/// 1,600 changes a day, one every 54 s.
const CHANGE_INTERVAL: Duration = Duration::from_secs(54);
/// Number of profiles and of customers in the small document that the simulated followers have.
const SMALL_SECTION_ENTRIES: usize = 20;
/// Padding that makes the text of the small document a large answer, like that of the real one, bytes.
const PADDING_BYTES: usize = 70_000;

fn small_source() -> Source {
    let mut settings = settings();
    for section in ["profiles", "customers"] {
        settings[section].as_array_mut().expect("an array").truncate(SMALL_SECTION_ENTRIES);
    }
    settings["note"] = Value::String("x".repeat(PADDING_BYTES));
    Source::new(1, &settings, HistoryBounds::default(), |_| Ok(())).expect("a source")
}

/// Measures starts of all proxies within a minute, followed by single changes, and starts of all proxies at once.
pub(crate) fn measure(full_document_bytes: u64, read_time: Duration) {
    let conditions = Conditions {
        source_bandwidth: 125_000_000,
        proxy_bandwidth: 12_500_000,
        latency: Duration::from_millis(20),
        full_document_bytes,
        read_time,
    };
    let within_a_minute = Duration::from_secs(60);
    let mut rollout = start_proxies("within a minute", within_a_minute, conditions);
    publish_changes(&mut rollout);
    start_proxies("at once", Duration::ZERO, conditions);
}

fn start_proxies(name: &str, within: Duration, conditions: Conditions) -> Rollout {
    let mut rollout = Rollout::new(small_source(), PROXIES, within, QueueBounds::default(), conditions);
    let current = rollout.run(Duration::from_secs(600));
    println!(
        "{PROXIES} proxies started {name}: {current} have the document after {:.1} s, {:.0} MB, {} polls found the source \
         busy",
        rollout.now.as_secs_f64(),
        rollout.bytes() as f64 / 1e6,
        rollout.busy_replies
    );
    rollout
}

fn publish_changes(rollout: &mut Rollout) {
    rollout.run_for(Duration::from_secs(30));
    let started = rollout.now;
    let bytes_before = rollout.bytes();
    let mut delays: Vec<Duration> = Vec::new();
    for round in 0..CHANGES {
        let entry = quota_entry(1, round as f64);
        rollout.source.publish_changes(vec![entry], Vec::new(), |_| Ok(())).expect("published");
        rollout.distribute();
        let published = rollout.now;
        rollout.run_for(CHANGE_INTERVAL);
        delays.extend(rollout.delays(published).last().copied());
    }
    delays.sort_unstable();
    let bytes_per_proxy = (rollout.bytes() - bytes_before) as f64 / PROXIES as f64;
    let rate = bytes_per_proxy / (rollout.now - started).as_secs_f64();
    println!(
        "{CHANGES} changes, one in {} s: the last of {PROXIES} has it after {:.2} s (median), {:.2} s (max); {rate:.0} B/s a \
         proxy",
        CHANGE_INTERVAL.as_secs(),
        delays[delays.len() / 2].as_secs_f64(),
        delays[delays.len() - 1].as_secs_f64()
    );
}
