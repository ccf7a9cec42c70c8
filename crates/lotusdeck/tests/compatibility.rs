//! Public names and stored data, compared with fixtures that version 0.2.0 wrote before its internal names changed:
//! the command line, the platform's settings, the status document, and the files that outlive a process.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use lotusdeck_core::cordon::Cordon;
use lotusdeck_policy::settings::{NetworkSettings, Settings};
use lotusdeck_policy::{
    AttemptLimits, Class, Config, DiscoveryMode, GoalWeights, KeyScope, Micros, SideEffects, SlowStartConfig,
    Tenant, ZoneId,
};
use lotusdeck_state::{decode, encode, Estimates, SavedEndpoints};
use rig::sockets::wait_until;
use rig::{entry, ok, pay, read, BackendServer, Proxy};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn fixture_text(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap()
}

fn run_command(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusdeck"));
    let without_defaults =
        command.env_remove("NODE_ADMIN_ADDR").env_remove("NODE_CONFIG").env_remove("NODE_OPERATOR");
    without_defaults.args(arguments).output().unwrap()
}

/// Creates an empty folder for this test process.
fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("lotusdeck-compatibility-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn every_help_text_key_and_exit_code_of_the_command_line_is_as_before() {
    let before = fixture_text("command-line.txt");
    let mut compared = 0;
    for section in before.split("$ lotusdeck ").skip(1) {
        let (arguments, expected) = section.split_once('\n').unwrap();
        let output = run_command(&arguments.split_whitespace().collect::<Vec<_>>());
        let printed = format!(
            "{}{}exit code {}\n\n",
            String::from_utf8(output.stdout).unwrap(),
            String::from_utf8(output.stderr).unwrap(),
            output.status.code().unwrap()
        );
        assert_eq!(printed, expected, "lotusdeck {arguments}");
        compared += 1;
    }
    assert_eq!(compared, 15);
}

fn read_settings(name: &str) -> Settings {
    Settings::read(&serde_json::from_str(&fixture_text(name)).unwrap()).unwrap()
}

fn class(
    objective_us: u64, side_effects: SideEffects, priority_weight: f64, late_value_factor: f64,
) -> Class {
    Class {
        latency_objective: Micros(objective_us),
        objective_per_work_hint: 0.0,
        side_effects,
        priority_weight,
        late_value_factor,
        retired: false,
    }
}

#[test]
fn settings_of_a_deployment_with_pushed_lists_are_read_as_before() {
    let settings = read_settings("settings-pushed.json");
    let expected = Config {
        proxy_count: 1,
        proxy_index: 0,
        zone: ZoneId(0),
        classes: vec![class(900_000, SideEffects::None, 1.0, 0.5)],
        tenants: Vec::new(),
        over_quota_factor: 0.1,
        goal: GoalWeights { overall: 0.6, worst_class: 0.2, cross_zone_cost: 0.0 },
        discovery: DiscoveryMode::Push,
        attempts: AttemptLimits { max_attempts: 4, allow_cancel: true, allow_hedging: true },
        tick: Micros(5_000),
        slow_start: SlowStartConfig {
            floor: 0.3,
            duration: Micros(9_000_000),
            overload_multiple: 2.5,
            overload_window: Micros(2_000_000),
        },
    };
    assert_eq!(settings.config, expected);
    let expected = NetworkSettings {
        connect_timeout: Micros(300_000),
        idle_timeout: Micros(60_000_000),
        max_retry_after: Some(Micros(2_000_000)),
        deadlines: vec![Micros(3_000_000)],
    };
    assert_eq!(settings.network, expected);
}

#[test]
fn settings_of_a_deployment_with_polled_lists_and_tenants_are_read_as_before() {
    let settings = read_settings("settings-polled.json");
    let keyed = |scope, window_us| SideEffects::IdempotencyKey { scope, window: Micros(window_us) };
    let read_class = Class { objective_per_work_hint: 2.5, ..class(400_000, SideEffects::None, 1.0, 0.5) };
    let expected = Config {
        proxy_count: 7,
        proxy_index: 3,
        zone: ZoneId(1),
        classes: vec![
            read_class,
            class(900_000, SideEffects::NonIdempotent, 4.0, 0.25),
            class(800_000, keyed(KeyScope::Cell, 500_000), 3.0, 0.0),
            class(700_000, keyed(KeyScope::Zone, 600_000), 2.0, 0.0),
            class(600_000, keyed(KeyScope::All, 700_000), 2.5, 1.0),
        ],
        tenants: vec![Tenant { quota_per_s: 500.0 }, Tenant { quota_per_s: 12.5 }],
        over_quota_factor: 0.125,
        goal: GoalWeights { overall: 0.5, worst_class: 0.25, cross_zone_cost: 0.75 },
        discovery: DiscoveryMode::Subscribe { poll_within: Micros(8_000_000) },
        attempts: AttemptLimits { max_attempts: 2, allow_cancel: false, allow_hedging: false },
        tick: Micros(4_000),
        slow_start: SlowStartConfig {
            floor: 0.25,
            duration: Micros(7_000_000),
            overload_multiple: 3.5,
            overload_window: Micros(1_000_000),
        },
    };
    assert_eq!(settings.config, expected);
    let expected = NetworkSettings {
        connect_timeout: Micros(120_000),
        idle_timeout: Micros(15_000_000),
        max_retry_after: None,
        deadlines: [1_500_000, 3_000_000, 2_500_000, 2_000_000, 1_000_000].map(Micros).to_vec(),
    };
    assert_eq!(settings.network, expected);
    for (index, name) in ["read", "pay", "vote", "seat", "post"].into_iter().enumerate() {
        assert_eq!(settings.names.class(name).map(|id| id.0), Some(index), "{name}");
    }
}

/// Collects each path of keys in a document, with the type of its value.
fn shape(document: &Value, path: &str, found: &mut BTreeMap<String, &'static str>) {
    let kind = match document {
        Value::Null => "null",
        Value::Bool(_) => "flag",
        Value::Number(_) => "number",
        Value::String(_) => "text",
        Value::Array(items) => {
            items.iter().for_each(|item| shape(item, &format!("{path}[]"), found));
            "array"
        }
        Value::Object(entries) => {
            entries.iter().for_each(|(key, value)| shape(value, &format!("{path}.{key}"), found));
            "object"
        }
    };
    found.insert(path.to_owned(), kind);
}

#[test]
fn the_status_document_with_ledger_and_fleet_has_the_keys_of_version_0_2_0() {
    let folder = empty_folder("status");
    let operator_file = folder.join("operator.toml");
    let text = format!(
        "[state]\nfolder = {:?}\nsite = \"fixture\"\n[ledger]\nfolder = {:?}\nsegment_mb = 1\n\
         [fleet]\nlisten = \"127.0.0.1:0\"\nmembers = \"\"\nsite = \"fixture\"\n\
         [[limit]]\nname = \"all\"\nrate_per_s = 400.0\nin_flight = 64\n",
        folder.join("state").display(),
        folder.join("ledger").display()
    );
    std::fs::write(&operator_file, text).unwrap();
    let backend = BackendServer::start(|_| ok("served"));
    let endpoints = [entry("b0", backend.address, "SERVING"), entry("b1", backend.address, "DRAINING")];
    let proxy = Proxy::with_operator_file(&endpoints, &operator_file);
    // A fleet member that has just started has no share of the limit yet and admits no requests.
    wait_until("a read is served", || proxy.ask(&read(3.0)).status() == 200);
    wait_until("a payment is served", || proxy.ask(&pay(3.0)).status() == 200);
    let output = run_command(&["admin", "--addr", &proxy.admin.to_string(), "status", "--format", "json"]);
    let now: Value = serde_json::from_slice(&output.stdout).unwrap();
    let before: Value = serde_json::from_str(&fixture_text("status.json")).unwrap();
    let (mut shape_before, mut shape_now) = (BTreeMap::new(), BTreeMap::new());
    shape(&before, "", &mut shape_before);
    shape(&now, "", &mut shape_now);
    let keys_of_discovery: BTreeSet<String> =
        shape_now.keys().filter(|path| path.starts_with(".discovery")).cloned().collect();
    shape_now.retain(|path, _| !keys_of_discovery.contains(path));
    assert_eq!(shape_now, shape_before, "apart from .discovery, which is newer");
    let keys = [
        "",
        ".address",
        ".consecutive_failures",
        ".failed_polls",
        ".last_list_age_ms",
        ".last_poll_age_ms",
        ".moves",
        ".phase",
        ".polls",
        ".version",
    ];
    assert_eq!(keys_of_discovery, BTreeSet::from(keys.map(|key| format!(".discovery{key}"))));
    assert_eq!(now["counts"]["served"], 2);
    assert!(now["fleet"]["shares"][0]["admitted"].as_u64().unwrap() >= 2);
    assert!(now["ledger"]["records"].as_u64().unwrap() >= 3);
}

#[test]
fn a_ledger_of_version_0_2_0_is_exported_and_queried_word_for_word() {
    let folder = fixture("ledger");
    let folder = folder.to_str().unwrap();
    for (arguments, expected) in [
        (&["ledger", "export"][..], "ledger-export.jsonl"),
        (&["ledger", "query"][..], "ledger-query.txt"),
        (&["ledger", "query", "--format", "csv"][..], "ledger-query.csv"),
        (&["ledger", "verify"][..], "ledger-verify.txt"),
    ] {
        let output = run_command(&[arguments, &[folder]].concat());
        assert_eq!(String::from_utf8(output.stdout).unwrap(), fixture_text(expected), "{arguments:?}");
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
    }
}

#[test]
fn endpoints_saved_by_version_0_2_0_are_read_and_written_byte_for_byte() {
    let bytes = std::fs::read(fixture("state/n0.state")).unwrap();
    let saved: SavedEndpoints = decode(&bytes).unwrap();
    assert_eq!((saved.site.as_str(), saved.proxy.as_str()), ("fixture", "n0"));
    assert_eq!((saved.written_ms, saved.index), (1_796_282_781_872, 9));
    let list: Value = serde_json::from_slice(&saved.list).unwrap();
    assert_eq!(list["endpoints"][1]["name"], "b1");
    assert_eq!(encode(&saved), bytes);
}

#[test]
fn estimates_saved_by_version_0_2_0_are_read_and_written_byte_for_byte() {
    let bytes = std::fs::read(fixture("state/n0.learned")).unwrap();
    let saved: Estimates = decode(&bytes).unwrap();
    assert_eq!((saved.site.as_str(), saved.proxy.as_str()), ("fixture", "n0"));
    assert_eq!(saved.written_ms, 1_796_282_785_615);
    assert_eq!(saved.overall_latency.value, 0.001_725_777_777_777_778_1);
    assert_eq!(saved.overall_latency.samples, 9.0);
    assert_eq!((saved.class_latency.len(), saved.kinds.len()), (2, 1));
    assert!(saved.ejected.is_empty() && saved.warmup_spend.is_empty());
    assert_eq!(encode(&saved), bytes);
}

#[test]
fn a_state_file_of_another_format_version_gets_a_clear_error() {
    let mut bytes = std::fs::read(fixture("state/n0.state")).unwrap();
    bytes[8] = 2; // the version, after eight bytes of magic
    let error = decode::<SavedEndpoints>(&bytes).unwrap_err();
    assert_eq!(error.to_string(), "format version 2, this program reads 1");
}

#[test]
fn a_cordon_file_of_version_0_2_0_cordons_the_same_backend() {
    let folder = empty_folder("cordon");
    std::fs::copy(fixture("n0.cordon"), folder.join("n0.cordon")).unwrap();
    let cordon = Cordon::load(&folder.join("n0"));
    assert_eq!(cordon.count(), 1);
    assert!(cordon.contains("b1"));
}
