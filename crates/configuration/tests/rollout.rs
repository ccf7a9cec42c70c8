//! 1,200 followers of one source of fixed capacity, in virtual time.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

mod common;
#[path = "common/rollout.rs"]
mod rollout;

use common::{change, seconds, source};
use lotusdeck_configuration::long_poll::QueueBounds;
use lotusdeck_configuration::{Entry, Key, Section, Source};
use rollout::{Conditions, Rollout};
use std::time::Duration;

/// A source of 1 Gb/s, proxies of 100 Mb/s, a document of 5 MB that is read within half a second.
const CONDITIONS: Conditions = Conditions {
    source_line: 125_000_000,
    proxy_line: 12_500_000,
    latency: Duration::from_millis(20),
    whole: 5_000_000,
    reading: Duration::from_millis(500),
};
const PROXIES: u64 = 1_200;
/// A change is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(20);

/// The document's text is over what counts as large, as the real one's is.
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

/// All have a change long before 20 s, and a proxy's part of control stays under 2 KB a second.
#[test]
fn a_change_reaches_all_followers_in_time() {
    let mut world = rollout(seconds(60), QueueBounds::default());
    assert_eq!(world.run(seconds(120)), 1_200);
    world.run_for(seconds(30));
    let (before, since) = (world.bytes(), world.now);
    for customer in 0..20 {
        change(&mut world.source, customer % 5, 100.0 + customer as f64);
        world.published();
        let published = world.now;
        assert_eq!(world.run(IN_FORCE), 1_200);
        let last = *world.delays(published).last().unwrap();
        assert!(last < seconds(2), "the last took it after {last:?}");
        world.run_for(seconds(34)); // 1,600 a day are one in 54 s
    }
    let rate = (world.bytes() - before) as f64 / PROXIES as f64 / (world.now - since).as_secs_f64();
    assert!(rate < 2_000.0, "{rate} bytes a second and proxy");
}

/// All proxies restart within a minute: each asks for the whole document, and the last has it soon after.
#[test]
fn all_proxies_restarted_within_a_minute_get_the_whole_document() {
    let mut world = rollout(seconds(60), QueueBounds::default());
    assert_eq!(world.run(seconds(60) + IN_FORCE), 1_200, "of 1,200 have the document at {:?}", world.now);
    let sent = world.bytes();
    assert!(sent < 1_200 * 5_100_000, "{sent} bytes: some were sent in vain");
}

/// All ask at once, which is more than the source's line carries in the time of an answer: it serves some at a time, so that nothing
/// is sent in vain.
#[test]
fn all_at_once_get_the_whole_document_at_the_speed_of_the_line() {
    let mut world = rollout(Duration::ZERO, QueueBounds::default());
    let current = world.run(seconds(70));
    assert_eq!(current, 1_200, "of 1,200 have the document at {:?}", world.now);
    assert!(world.bytes() < 1_200 * 5_100_000, "{} bytes", world.bytes());
    assert_eq!(world.closed, 0);
}

/// Proxies that take an answer at a few bytes a second slow no other, and hold a bounded part of the source's memory.
#[test]
fn slow_proxies_slow_no_other() {
    let mut world = rollout(seconds(60), QueueBounds::default());
    assert_eq!(world.run(seconds(120)), 1_200);
    let slow = 60;
    for (at, proxy) in world.proxies.iter_mut().take(slow).enumerate() {
        proxy.line_speed = 10;
        proxy.stuck = at % 2 == 0; // the others give up by themselves, and come again
    }
    world.run_for(seconds(15));
    for at in 0..40 {
        change(&mut world.source, at % 5, 100.0 + at as f64);
        world.published();
        let published = world.now;
        world.run_for(seconds(2));
        let fast = &world.proxies[slow..];
        let version = world.source.version();
        let late = fast.iter().filter(|proxy| proxy.took.is_none_or(|(took, _)| took != version)).count();
        assert_eq!(late, 0, "change {at}, published at {published:?}");
    }
    assert_eq!(world.closed, 30, "an answer that is not taken is given up");
    assert!(world.desk.len() <= 1_200);
    assert!(world.most_held < 2_000_000, "{} bytes of answers held", world.most_held);
}
