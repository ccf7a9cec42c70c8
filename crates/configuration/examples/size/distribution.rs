//! 1,200 followers in virtual time; a full document counts with the bytes of the real one.

use crate::rollout::{Conditions, Rollout};
use crate::workload::{quota_entry, settings, PROXIES};
use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::long_poll::QueueBounds;
use lotusdeck_configuration::Source;
use serde_json::Value;
use std::time::Duration;

/// Changes that are published one after the other.
const CHANGES: usize = 40;
/// 1,600 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(54);
/// Profiles and customers of the small document that the followers really have.
const SMALL_SECTION: usize = 20;
/// Bytes that make this document's text a large answer, as that of the real one.
const PADDING_BYTES: usize = 70_000;

fn small_source() -> Source {
    let mut settings = settings();
    for section in ["profiles", "customers"] {
        settings[section].as_array_mut().expect("an array").truncate(SMALL_SECTION);
    }
    settings["note"] = Value::String("x".repeat(PADDING_BYTES));
    Source::new(1, &settings, HistoryBounds::default(), |_| Ok(())).expect("a source")
}

/// Starts of all proxies within a minute and at once, and single changes afterwards.
pub(crate) fn measure(full_document_bytes: u64, read_time: Duration) {
    let conditions = Conditions {
        source_bandwidth: 125_000_000,
        proxy_bandwidth: 12_500_000,
        latency: Duration::from_millis(20),
        full_document_bytes,
        read_time,
    };
    let within_a_minute = Duration::from_secs(60);
    let mut world = start_proxies("within a minute", within_a_minute, conditions);
    publish_changes(&mut world);
    start_proxies("at once", Duration::ZERO, conditions);
}

fn start_proxies(name: &str, within: Duration, conditions: Conditions) -> Rollout {
    let mut world = Rollout::new(small_source(), PROXIES, within, QueueBounds::default(), conditions);
    let current = world.run(Duration::from_secs(600));
    println!(
        "{PROXIES} proxies started {name}: {current} have the document after {:.1} s, {:.0} MB, {} polls found the source \
         busy",
        world.now.as_secs_f64(),
        world.bytes() as f64 / 1e6,
        world.busy
    );
    world
}

fn publish_changes(world: &mut Rollout) {
    world.run_for(Duration::from_secs(30));
    let started = world.now;
    let bytes_before = world.bytes();
    let mut delays: Vec<Duration> = Vec::new();
    for round in 0..CHANGES {
        let entry = quota_entry(1, round as f64);
        world.source.publish_changes(vec![entry], Vec::new(), |_| Ok(())).expect("published");
        world.distribute();
        let published = world.now;
        world.run_for(CHANGE_INTERVAL);
        delays.extend(world.delays(published).last().copied());
    }
    delays.sort_unstable();
    let bytes_per_proxy = (world.bytes() - bytes_before) as f64 / PROXIES as f64;
    let rate = bytes_per_proxy / (world.now - started).as_secs_f64();
    println!(
        "{CHANGES} changes, one in {} s: the last of {PROXIES} has it after {:.2} s (median), {:.2} s (max); {rate:.0} B/s a \
         proxy",
        CHANGE_INTERVAL.as_secs(),
        delays[delays.len() / 2].as_secs_f64(),
        delays[delays.len() - 1].as_secs_f64()
    );
}
