//! Measures the memory of a follower in a separate process, and of the settings in this process.

use crate::costs::apply_message;
use crate::workload::{answer, quota_entry};
use lotusdeck_configuration::document::to_settings;
use lotusdeck_configuration::{decode, Follower, FollowerSettings, Source};
use lotusdeck_policy::settings::Settings;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::io::Write;
use std::process::{Command, Stdio};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The command-line argument with which this program runs as a follower process.
pub(crate) const FOLLOWER_ARGUMENT: &str = "proxy";

const BYTES_PER_MB: f64 = 1_048_576.0;
const KILOBYTES_PER_MB: f64 = 1_024.0;

/// Resident memory of this process, MB.
struct ResidentMemory {
    current: f64,
    /// The maximum since the last reset.
    peak: f64,
}

fn resident_memory() -> ResidentMemory {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0) / KILOBYTES_PER_MB
    };
    ResidentMemory { current: field("VmRSS:"), peak: field("VmHWM:") }
}

fn allocated_mb(region: &Region<'_, System>) -> f64 {
    let change = region.change();
    (change.bytes_allocated as f64 - change.bytes_deallocated as f64) / BYTES_PER_MB
}

/// Measures the memory of a full document, of one change, and of the settings.
pub(crate) fn measure(source: &mut Source) {
    let full_document = answer(source, None);
    let base = source.version();
    source.publish_changes(vec![quota_entry(1, 0.5)], Vec::new(), |_| Ok(())).expect("published");
    let delta = answer(source, Some(base));
    run_follower_process(&full_document, &delta);
    let region = Region::new(ALLOCATOR);
    let object = to_settings(source.document().iter()).expect("an object");
    println!("settings as one JSON object in memory: {:.1} MB allocated", allocated_mb(&region));
    let region = Region::new(ALLOCATOR);
    let settings = Settings::read(&object);
    println!("settings as read: {:.1} MB allocated", allocated_mb(&region));
    drop(settings);
}

/// Starts the follower process and sends it the two answers, one per line.
fn run_follower_process(full_document: &str, delta: &str) {
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    let mut child = command.arg(FOLLOWER_ARGUMENT).stdin(Stdio::piped()).spawn().expect("a process");
    let mut input = child.stdin.take().expect("its input");
    input.write_all(format!("{full_document}\n{delta}\n").as_bytes()).expect("written");
    drop(input);
    assert!(child.wait().expect("its end").success());
}

/// Runs the follower process: reads both answers from standard input, applies them as a proxy does, and prints the
/// memory after each.
pub(crate) fn follow_standard_input() {
    let region = Region::new(ALLOCATOR);
    let mut follower = Follower::new(FollowerSettings::default(), 1);
    println!("a process of its own: {:.1} MB resident at its start", resident_memory().current);
    for name in ["full document", "one change"] {
        // Resets the peak of the resident memory to the current value (proc(5)).
        let is_reset = std::fs::write("/proc/self/clear_refs", "5").is_ok();
        let mut text = String::new();
        std::io::stdin().read_line(&mut text).expect("an answer");
        let message = decode(text.as_bytes()).expect("a message");
        drop(text); // as the proxy does
        let cost = apply_message(&mut follower, message, true);
        let memory = resident_memory();
        println!(
            "  {name}: Settings::read {:.1} ms, peak {:.1} MB resident (reset {is_reset}), {:.1} MB after it, \
             {:.1} MB allocated",
            cost.read_settings.as_secs_f64() * 1e3,
            memory.peak,
            memory.current,
            allocated_mb(&region)
        );
    }
}
