//! 1,200 followers of one source of fixed bandwidth, in virtual time.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

mod common;
#[path = "common/rollout.rs"]
mod rollout;

use common::{publish_quota, seconds, source};
use lotusdeck_configuration::long_poll::QueueBounds;
use lotusdeck_configuration::{Entry, Key, Section, Source};
use rollout::{Conditions, Rollout};
use std::time::Duration;

/// A source of 1 Gb/s, proxies of 100 Mb/s, and a document of 5 MB that a proxy reads in half a second.
const CONDITIONS: Conditions = Conditions {
    source_bandwidth: 125_000_000,
    proxy_bandwidth: 12_500_000,
    latency: Duration::from_millis(20),
    full_document_bytes: 5_000_000,
    read_time: Duration::from_millis(500),
};
const PROXIES: u64 = 1_200;
/// The time within which a change has to be in force at all proxies.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(20);

/// Creates a source whose full document counts as a large answer, like that of a real site.
fn large_source() -> Source {
    let mut source = source(1, 5);
    let value = format!("\"{}\"", "x".repeat(70_000));
    let entry = Entry { key: Key::new(Section::Base, "note"), value: value.into() };
    source.publish_changes(vec![entry], Vec::new(), common::check).unwrap();
    source
}

fn rollout(within: Duration, bounds: QueueBounds) -> Rollout {
    Rollout::new(large_source(), PROXIES, within, bounds, CONDITIONS)
}

/// All followers apply a change in under 2 s, well within the required 20 s, and a proxy transfers under 2 KB/s.
#[test]
fn change_reaches_all_followers_in_time() {
    let mut rollout = rollout(seconds(60), QueueBounds::default());
    assert_eq!(rollout.run(seconds(120)), 1_200);
    rollout.run_for(seconds(30));
    let (before, measured_from) = (rollout.bytes(), rollout.now);
    for customer in 0..20 {
        publish_quota(&mut rollout.source, customer % 5, 100.0 + customer as f64);
        rollout.distribute();
        let published = rollout.now;
        assert_eq!(rollout.run(PROPAGATION_LIMIT), 1_200);
        let last = *rollout.delays(published).last().unwrap();
        assert!(last < seconds(2), "the last proxy applied it after {last:?}");
        rollout.run_for(seconds(34)); // 1,600 changes a day are one every 54 s
    }
    let rate =
        (rollout.bytes() - before) as f64 / PROXIES as f64 / (rollout.now - measured_from).as_secs_f64();
    assert!(rate < 2_000.0, "{rate} bytes per second and proxy");
}

/// All proxies start within a minute and request the full document; the last has it at most 20 s after that minute.
#[test]
fn proxies_restarted_within_a_minute_get_the_full_document() {
    let mut rollout = rollout(seconds(60), QueueBounds::default());
    assert_eq!(
        rollout.run(seconds(60) + PROPAGATION_LIMIT),
        1_200,
        "proxies with the document at {:?}",
        rollout.now
    );
    let sent = rollout.bytes();
    assert!(sent < 1_200 * 5_100_000, "{sent} bytes, more than one full document per proxy");
}

/// All proxies request the full document at once, which at the source's bandwidth takes longer than the timeout of an
/// answer. The source serves a limited number at a time, so that no answer is abandoned after some of it was sent.
#[test]
fn proxies_started_at_once_get_the_full_document_at_the_sources_bandwidth() {
    let mut rollout = rollout(Duration::ZERO, QueueBounds::default());
    let current = rollout.run(seconds(70));
    assert_eq!(current, 1_200, "proxies with the document at {:?}", rollout.now);
    assert!(rollout.bytes() < 1_200 * 5_100_000, "{} bytes", rollout.bytes());
    assert_eq!(rollout.closed_connections, 0);
}

/// Proxies that receive answers at a few bytes a second do not delay others, and use a bounded amount of the source's
/// memory.
#[test]
fn slow_proxies_delay_no_other() {
    let mut rollout = rollout(seconds(60), QueueBounds::default());
    assert_eq!(rollout.run(seconds(120)), 1_200);
    let slow = 60;
    for (index, proxy) in rollout.proxies.iter_mut().take(slow).enumerate() {
        proxy.bandwidth = 10;
        proxy.stuck = index % 2 == 0; // the others time out and reconnect
    }
    rollout.run_for(seconds(15));
    for change in 0..40 {
        publish_quota(&mut rollout.source, change % 5, 100.0 + change as f64);
        rollout.distribute();
        let published = rollout.now;
        rollout.run_for(seconds(2));
        let fast = &rollout.proxies[slow..];
        let version = rollout.source.version();
        let outdated = fast
            .iter()
            .filter(|proxy| proxy.applied.is_none_or(|applied| applied.version != version))
            .count();
        assert_eq!(outdated, 0, "change {change}, published at {published:?}");
    }
    assert_eq!(rollout.closed_connections, 30, "connections of stuck proxies are closed");
    assert!(rollout.queue.len() <= 1_200);
    assert!(
        rollout.max_buffered_bytes < 2_000_000,
        "{} bytes of answers buffered",
        rollout.max_buffered_bytes
    );
}
