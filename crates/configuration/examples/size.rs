//! What a change costs at 16,000 classes and 34,000 tenants: bytes, processor time, memory, and the time until the last
//! of 1,200 followers has it.
//!
//! `cargo run --release -p lotusdeck-configuration --example size`
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

#[path = "../tests/common/rollout.rs"]
#[allow(dead_code)]
mod rollout;

use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::long_poll::QueueBounds;
use lotusdeck_configuration::source::SourceAnswer;
use lotusdeck_configuration::{
    decode, Candidate, Entry, Follower, FollowerSettings, Key, Message, NextStep, Poll, Section, Source,
    Version,
};
use lotusdeck_policy::settings::Settings;
use rollout::{Conditions, Rollout};
use serde_json::{json, Value};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::io::Write;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const PROFILES: usize = 16_000;
const CUSTOMERS: usize = 34_000;
const PROXIES: u64 = 1_200;
const ROUNDS: usize = 9;

fn profile(at: usize) -> Value {
    json!({"name": format!("route-{at:05}-of-some-service"), "aim_us": 250_000 + at, "deadline_us": 500_000 + at,
        "effect": "free", "gain": 1.0, "key_scope": "all", "late_worth": 0.0, "stream": false,
        "window_us": 5_000_000})
}

fn customer(at: usize) -> Value {
    json!({"name": format!("tenant-{at:05}"), "quota_rps": 50.5 + at as f64, "share": 1.0})
}

/// Settings of a site as the platform tells them, at this size.
fn settings() -> Value {
    json!({
        "profiles": (0..PROFILES).map(profile).collect::<Vec<Value>>(),
        "customers": (0..CUSTOMERS).map(customer).collect::<Vec<Value>>(),
        "zones": ["a", "b", "c"], "my_zone": "a", "kinds": ["small", "large"], "position": 0,
        "group_size": PROXIES, "discovery": "automatic", "granularity_us": 1_000, "over_share_worth": 0.1,
        "blend": {"whole": 0.7, "worst_class": 0.3}, "costs": {"cross_zone": 0.02, "waste": 0.1},
        "limits": {"max_attempts": 3, "cancel": true, "parallel_tries": false, "dial_timeout_us": 100_000,
            "conn_idle_us": 10_000_000, "max_retry_after_us": 1_000_000},
        "rules": {"cold_from": 0.5, "ramp_time_us": 1_000_000, "fall_multiple": 3.0, "tip_after_us": 1_000_000,
            "must_ask_in_us": 1_000_000},
    })
}

fn quota(at: usize, to: f64) -> Entry {
    let key = Key::new(Section::Customers, &format!("tenant-{at:05}"));
    Entry { key, value: json!({"quota_rps": to, "share": 1.0}).to_string().into() }
}

/// Spans of the parts of one change at a follower.
#[derive(Clone, Copy, Default)]
struct Cost {
    decode: Duration,
    verify: Duration,
    object: Duration,
    read: Duration,
    commit: Duration,
    /// The longest slice of verifying or committing.
    slice: Duration,
}

/// Takes an answer as a proxy does.
fn take(follower: &mut Follower, text: &str, read_settings: bool) -> Cost {
    let begun = Instant::now();
    let message = decode(text.as_bytes()).expect("a message");
    let decode = begun.elapsed();
    Cost { decode, ..take_message(follower, message, read_settings) }
}

fn take_message(follower: &mut Follower, message: Message, read_settings: bool) -> Cost {
    let mut cost = Cost::default();
    let now = Duration::ZERO;
    while !matches!(follower.next_step(now), NextStep::Poll(_)) {}
    follower.handle_message(now, message);
    let mut judged = false;
    loop {
        let begun = Instant::now();
        let step = follower.next_step(now);
        let spent = begun.elapsed();
        match step {
            NextStep::Continue | NextStep::Applied(_) => {
                *(if judged { &mut cost.commit } else { &mut cost.verify }) += spent;
                cost.slice = cost.slice.max(spent);
                if matches!(step, NextStep::Applied(_)) {
                    return cost;
                }
            }
            NextStep::Validate => {
                let candidate = follower.candidate().expect("a candidate");
                (cost.object, cost.read) = judge(&candidate, read_settings);
                follower.candidate_validated(now, Ok(()));
                judged = true;
            }
            other => panic!("{other:?}"),
        }
    }
}

fn judge(candidate: &Candidate, read_settings: bool) -> (Duration, Duration) {
    let begun = Instant::now();
    let object = candidate.to_settings().expect("an object");
    let made = begun.elapsed();
    if !read_settings {
        return (made, Duration::ZERO);
    }
    let begun = Instant::now();
    Settings::read(&object).expect("sound settings");
    (made, begun.elapsed())
}

fn median(costs: &[Cost], of: impl Fn(&Cost) -> Duration) -> f64 {
    let mut spans: Vec<Duration> = costs.iter().map(of).collect();
    spans.sort_unstable();
    spans[spans.len() / 2].as_secs_f64() * 1e3
}

fn tell(name: &str, bytes: usize, source: f64, costs: &[Cost]) {
    println!(
        "{name}: {bytes} bytes; ms (medians of {}): source {source:.3}, decode {:.3}, verify {:.3}, object {:.3}, \
         commit {:.3}, longest slice {:.3}",
        costs.len(),
        median(costs, |cost| cost.decode),
        median(costs, |cost| cost.verify),
        median(costs, |cost| cost.object),
        median(costs, |cost| cost.commit),
        median(costs, |cost| cost.slice),
    );
}

fn text(source: &mut Source, after: Option<Version>) -> std::sync::Arc<str> {
    match source.answer_poll(&Poll { after, rejected_version: None, wait: Duration::ZERO }) {
        SourceAnswer::Now(text) => text,
        SourceAnswer::Later => panic!("nothing later"),
    }
}

/// Resident memory of this process, MB: at present, and the most since the last reset.
fn resident() -> (f64, f64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|n| n.parse().ok());
        kilobytes.unwrap_or(0.0) / 1024.0
    };
    (field("VmRSS:"), field("VmHWM:"))
}

fn allocated(region: &Region<System>) -> f64 {
    let change = region.change();
    (change.bytes_allocated as f64 - change.bytes_deallocated as f64) / 1048576.0
}

/// One entry, or a hundred, changed.
fn deltas(source: &mut Source, changed: usize) {
    let mut follower = Follower::new(FollowerSettings::default(), 1);
    take(&mut follower, &text(source, None), false);
    let (mut costs, mut published, mut bytes) = (Vec::new(), Vec::new(), 0);
    for round in 0..ROUNDS {
        let entries = (0..changed).map(|at| quota(at * 331, round as f64)).collect();
        let held = source.version();
        let begun = Instant::now();
        source.publish_changes(entries, Vec::new(), |_| Ok(())).expect("published");
        let text = text(source, Some(held));
        published.push(begun.elapsed());
        bytes = text.len();
        costs.push(take(&mut follower, &text, false));
    }
    published.sort_unstable();
    tell(&format!("{changed} changed"), bytes, published[ROUNDS / 2].as_secs_f64() * 1e3, &costs);
}

fn full_document(source: &mut Source) {
    let begun = Instant::now();
    let text = text(source, None);
    let made = begun.elapsed().as_secs_f64() * 1e3;
    let cost = |_| take(&mut Follower::new(FollowerSettings::default(), 1), &text, false);
    let costs: Vec<Cost> = (0..ROUNDS).map(cost).collect();
    tell("whole document", text.len(), made, &costs);
}

fn memory(source: &mut Source) {
    let whole = text(source, None);
    let held = source.version();
    source.publish_changes(vec![quota(1, 0.5)], Vec::new(), |_| Ok(())).expect("published");
    let delta = text(source, Some(held));
    proxy(&whole, &delta);
    let region = Region::new(ALLOCATOR);
    let object = source_object(source);
    println!("settings as one JSON object in memory: {:.1} MB allocated", allocated(&region));
    let region = Region::new(ALLOCATOR);
    let settings = Settings::read(&object);
    println!("settings as read: {:.1} MB allocated", allocated(&region));
    drop(settings);
}

/// The argument that makes this program the process of a proxy that only follows.
const AS_PROXY: &str = "proxy";

/// Starts that process, and gives it these two answers, one a line.
fn proxy(whole: &str, delta: &str) {
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    let mut child = command.arg(AS_PROXY).stdin(Stdio::piped()).spawn().expect("a process");
    let mut input = child.stdin.take().expect("its input");
    input.write_all(format!("{whole}\n{delta}\n").as_bytes()).expect("written");
    drop(input);
    assert!(child.wait().expect("its end").success());
}

/// That process: takes both answers as a proxy does, and tells its memory after each.
fn run_proxy() {
    let region = Region::new(ALLOCATOR);
    let mut follower = Follower::new(FollowerSettings::default(), 1);
    println!("a process of its own: {:.1} MB resident at its start", resident().0);
    for name in ["whole document", "one change"] {
        // proc(5): resets the most resident memory to the present one.
        let reset = std::fs::write("/proc/self/clear_refs", "5").is_ok();
        let mut text = String::new();
        std::io::stdin().read_line(&mut text).expect("an answer");
        let message = decode(text.as_bytes()).expect("a message");
        drop(text); // as the program does
        let cost = take_message(&mut follower, message, true);
        let (now, most) = resident();
        println!(
            "  {name}: Settings::read {:.1} ms, {most:.1} MB resident at the most (reset {reset}), {now:.1} MB after it, \
             {:.1} MB allocated",
            cost.read.as_secs_f64() * 1e3,
            allocated(&region)
        );
    }
}

fn source_object(source: &Source) -> Value {
    lotusdeck_configuration::document::to_settings(source.document().iter()).expect("an object")
}

/// 1,200 followers in virtual time; the whole document counts with the bytes measured, its reading with the time measured.
fn fleet(full_document_bytes: u64, read_time: Duration) {
    let conditions = Conditions {
        source_bandwidth: 125_000_000,
        proxy_bandwidth: 12_500_000,
        latency: Duration::from_millis(20),
        full_document_bytes,
        read_time,
    };
    let small = || {
        let mut settings = settings();
        for section in ["profiles", "customers"] {
            settings[section].as_array_mut().expect("an array").truncate(20);
        }
        // Over what counts as large, as the real one is.
        settings["note"] = Value::String("x".repeat(70_000));
        Source::new(1, &settings, HistoryBounds::default(), |_| Ok(())).expect("a source")
    };
    for (name, within) in [("within a minute", 60), ("at once", 0)] {
        let within = Duration::from_secs(within);
        let mut world = Rollout::new(small(), PROXIES, within, QueueBounds::default(), conditions);
        let current = world.run(Duration::from_secs(600));
        println!(
            "{PROXIES} proxies started {name}: {current} have the document after {:.1} s, {:.0} MB, {} told to come again",
            world.now.as_secs_f64(),
            world.bytes() as f64 / 1e6,
            world.busy
        );
        if within.is_zero() {
            continue;
        }
        world.run_for(Duration::from_secs(30));
        let (since, bytes) = (world.now, world.bytes());
        let mut delays: Vec<Duration> = Vec::new();
        for round in 0..40 {
            world
                .source
                .publish_changes(vec![quota(1, round.into())], Vec::new(), |_| Ok(()))
                .expect("published");
            world.distribute();
            let published = world.now;
            world.run_for(Duration::from_secs(54)); // 1,600 a day
            delays.extend(world.delays(published).last().copied());
        }
        delays.sort_unstable();
        let rate = (world.bytes() - bytes) as f64 / PROXIES as f64 / (world.now - since).as_secs_f64();
        println!(
            "40 changes, one in 54 s: the last of {PROXIES} has it after {:.2} s (median), {:.2} s (most); {rate:.0} B/s a proxy",
            delays[delays.len() / 2].as_secs_f64(),
            delays[delays.len() - 1].as_secs_f64()
        );
    }
}

fn main() {
    if std::env::args().nth(1).as_deref() == Some(AS_PROXY) {
        return run_proxy();
    }
    let begun = Instant::now();
    let mut source = Source::new(1, &settings(), HistoryBounds::default(), |_| Ok(())).expect("a source");
    let (document, made) = (source.document(), begun.elapsed());
    println!(
        "{PROFILES} classes, {CUSTOMERS} tenants: {} entries, {} bytes of names and values, made in {:.0} ms",
        document.len(),
        document.bytes(),
        made.as_secs_f64() * 1e3
    );
    deltas(&mut source, 1);
    deltas(&mut source, 100);
    full_document(&mut source);
    memory(&mut source);
    let full_document_bytes = text(&mut source, None).len() as u64;
    fleet(full_document_bytes, Duration::from_millis(500));
    assert!(matches!(decode(text(&mut source, None).as_bytes()), Ok(Message::FullDocument(_))));
}
