//! Measures the cost of a change with 16,000 classes and 34,000 tenants: bytes, processor time, memory, and the time
//! until the last of 1,200 followers has applied it.
//!
//! `cargo run --release -p lotusdeck-configuration --example size`
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a measurement panics on unexpected results")]

mod costs;
mod distribution;
mod memory;
#[path = "../../tests/common/rollout.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod rollout;
mod workload;

use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::{decode, Message, Source};
use std::time::{Duration, Instant};
use workload::{answer, CUSTOMERS, PROFILES};

/// The time that a proxy takes in the simulated rollout to read the settings of a full document.
const READ_TIME: Duration = Duration::from_millis(500);

fn main() {
    if std::env::args().nth(1).as_deref() == Some(memory::FOLLOWER_ARGUMENT) {
        memory::follow_standard_input();
        return;
    }
    let started = Instant::now();
    let settings = workload::settings();
    let mut source = Source::new(1, &settings, HistoryBounds::default(), |_| Ok(())).expect("a source");
    let build_time = started.elapsed();
    println!(
        "{PROFILES} classes, {CUSTOMERS} tenants: {} entries, {} bytes of names and values, built in {:.0} ms",
        source.document().len(),
        source.document().bytes(),
        build_time.as_secs_f64() * 1e3
    );
    costs::delta(&mut source, 1);
    costs::delta(&mut source, 100);
    costs::full_document(&mut source);
    memory::measure(&mut source);
    let text = answer(&mut source, None);
    distribution::measure(text.len() as u64, READ_TIME);
    assert!(matches!(decode(text.as_bytes()), Ok(Message::FullDocument(_))));
}
