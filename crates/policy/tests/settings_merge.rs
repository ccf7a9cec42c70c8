//! Tests thousands of successive settings: ids are reused, but not while an open request uses them.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod common;

use common::{backend, Host};
use lotusdeck_policy::settings::{IdsInUse, Settings, SettingsMerge};
use lotusdeck_policy::*;
use serde_json::{json, Value};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Runs one test at a time, as memory is counted for the whole process.
fn serialize_tests() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

const CHANGES: usize = 2_000;
const CLASSES: usize = 50;
const TENANTS: usize = 200;
/// Number of names that each change replaces.
const REPLACED: usize = 5;

/// Builds settings with these tenants and with classes of these names without side effects; `last` is one more
/// class, which is non-idempotent.
fn settings(classes: &[String], tenants: &[String], last: Option<&str>) -> Settings {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim_us": 900_000, "deadline_us": 3_000_000, "effect": effect, "gain": 1.0,
            "late_worth": 0.5})
    };
    let last = last.map(|name| class(name, "single_shot"));
    let profiles: Vec<Value> = classes.iter().map(|name| class(name, "free")).chain(last).collect();
    let customers: Vec<Value> = tenants.iter().map(|name| json!({"name": name, "quota_rps": 10.0})).collect();
    let value = json!({
        "blend": {"whole": 0.6, "worst_class": 0.2}, "costs": {"cross_zone": 0.0}, "customers": customers,
        "discovery": "automatic", "position": 0, "group_size": 1, "granularity_us": 5000, "kinds": ["big"],
        "my_zone": "east", "zones": ["east"], "over_share_worth": 0.1,
        "limits": {"cancel": true, "max_attempts": 4, "parallel_tries": true, "dial_timeout_us": 300_000,
            "conn_idle_us": 60_000_000, "max_retry_after_us": 2_000_000},
        "profiles": profiles,
        "rules": {"cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 9_000_000,
            "ramp_time_us": 9_000_000, "tip_after_us": 2_000_000},
    });
    Settings::read(&value).expect("valid settings")
}

/// Returns the names after `change` changes, each of which replaces the oldest ones.
fn names(of: &str, count: usize, change: usize) -> Vec<String> {
    (0..count).map(|i| format!("{of}-{:06}", change * REPLACED + i)).collect()
}

/// Builds the settings after `change` changes.
fn settings_at(change: usize, last: Option<&str>) -> Settings {
    settings(&names("class", CLASSES, change), &names("tenant", TENANTS, change), last)
}

/// A balancer in its host, and the active settings.
struct Rig {
    host: Host,
    settings: Settings,
}

impl Rig {
    fn new(settings: Settings) -> Rig {
        let mut host = Host::new(settings.config.clone(), 7);
        host.update_endpoints(ListUpdate::Full, (0..4).map(|id| backend(id, 0, 0)).collect());
        Rig { host, settings }
    }

    /// Applies other settings, while only requests that the balancer knows use ids.
    fn apply(&mut self, new: Settings) -> ReassignedIds {
        let classes: HashSet<ClassId> = self.host.balancer.classes_in_use().collect();
        let in_use = IdsInUse { classes, ..IdsInUse::default() };
        let SettingsMerge { settings, reassigned: reassigned_ids } =
            self.settings.merge_successor(new, &self.settings.names, &in_use);
        self.settings = settings;
        self.host.config = self.settings.config.clone();
        let config = Box::new(self.settings.config.clone());
        self.host.handle_event(Event::ConfigApplied { config, reassigned: reassigned_ids.clone() });
        reassigned_ids
    }
}

/// Guards against tables and memory that grow with each change. Each change replaces names, and a request of the
/// newest class is served between two changes.
#[test]
fn thousands_of_changes_leave_tables_and_memory_as_large_as_a_few() {
    let _guard = serialize_tests();
    let mut rig = Rig::new(settings_at(0, None));
    let region = Region::new(ALLOCATOR);
    let held = || {
        let held = region.change();
        held.bytes_allocated as i64 - held.bytes_deallocated as i64
    };
    let mut after_a_few = 0;
    for change in 1..=CHANGES {
        rig.apply(settings_at(change, None));
        let newest = ("class", CLASSES - 1 + change * REPLACED);
        let class =
            rig.settings.names.class(&format!("{}-{:06}", newest.0, newest.1)).expect("an active name");
        let id = rig.host.submit(class.0, 900_000);
        rig.host.serve_all(2_000);
        assert_eq!(rig.host.requests.remove(&id).and_then(|r| r.answer), Some("served"));
        rig.host.timers.clear();
        rig.host.logs.clear();
        if change == CHANGES / 20 {
            after_a_few = held();
        }
    }
    let config = &rig.settings.config;
    assert!(config.classes.len() <= CLASSES + 2 * REPLACED, "{} ids of classes", config.classes.len());
    assert!(config.tenants.len() <= TENANTS + 2 * REPLACED, "{} ids of tenants", config.tenants.len());
    assert_eq!(config.classes.iter().filter(|c| !c.retired).count(), CLASSES);
    let growth = held() - after_a_few;
    assert!(growth < 16_384, "{growth} bytes more than after {} changes", CHANGES / 20);
}

/// Guards against an id of a class that is reassigned while a request of the class is open, whatever settings
/// follow, and against estimates that outlast the reassignment.
#[test]
fn an_open_request_ends_under_the_rules_of_its_class_and_its_id_is_then_free() {
    let _guard = serialize_tests();
    let mut rig = Rig::new(settings_at(0, Some("pay")));
    let pay = rig.settings.names.class("pay").expect("an active name");
    rig.host.submit(pay.0, 900_000);
    rig.host.serve_all(20_000); // its latency is recorded
    let open = rig.host.submit(pay.0, 60_000_000);
    assert_eq!(rig.host.sent_to(open).len(), 1);
    for change in 1..=CHANGES {
        let reassigned_ids = rig.apply(settings_at(change, None));
        assert!(!reassigned_ids.classes.contains(&pay), "change {change} reassigned the id");
        assert_eq!(rig.settings.names.class("pay"), None);
        assert_eq!(rig.settings.names.class_name(pay), "pay");
        assert_eq!(rig.settings.config.classes[pay.0].side_effects, SideEffects::NonIdempotent);
    }
    rig.host.end_attempt(open, 0, Outcome::Reset);
    assert_eq!(rig.host.sent_to(open).len(), 1, "not retried, as it may have run");
    assert_eq!(rig.host.requests[&open].answer, Some("failed"));
    assert_eq!(rig.host.balancer.classes_in_use().count(), 0);
    let samples = |rig: &Rig| rig.host.balancer.snapshot(rig.host.now).class_latency[pay.0].1.samples;
    assert_eq!(samples(&rig), 1.0);
    let reassigned_at = (1..4).find(|n| rig.apply(settings_at(CHANGES + n, None)).classes.contains(&pay));
    assert!(reassigned_at.is_some(), "the id is reassigned");
    assert_eq!(samples(&rig), 0.0, "estimates of another class do not pass to this one");
    assert_eq!(rig.settings.config.classes[pay.0].side_effects, SideEffects::None);
}

/// Guards against an id of a class or a tenant that is reassigned although a request may still refer to it.
#[test]
fn an_id_in_use_keeps_its_name() {
    let _guard = serialize_tests();
    let first = settings_at(0, None);
    let (class, tenant) = (first.names.class("class-000000"), first.names.tenant("tenant-000000"));
    let (class, tenant) = (class.expect("an active name"), tenant.expect("an active name"));
    let in_use = IdsInUse { classes: [class].into(), tenants: [tenant].into() };
    let mut settings = first;
    for change in 1..10 {
        let next = settings.merge_successor(settings_at(change, None), &settings.names, &in_use);
        assert!(!next.reassigned.classes.contains(&class) && !next.reassigned.tenants.contains(&tenant));
        settings = next.settings;
    }
    assert_eq!(settings.names.class_name(class), "class-000000");
    assert_eq!(settings.names.tenant_name(tenant), "tenant-000000");
    let back = settings.merge_successor(settings_at(0, None), &settings.names, &in_use);
    assert_eq!(
        back.settings.names.class("class-000000"),
        Some(class),
        "the name returned while its id was in use"
    );
    assert_eq!(back.settings.names.tenant("tenant-000000"), Some(tenant));
}

/// Guards against unlimited spare ids after a change to far fewer names.
#[test]
fn unneeded_ids_are_dropped() {
    let _guard = serialize_tests();
    let many = settings(&names("class", 9_000, 0), &names("tenant", 20_000, 0), None);
    let few = || settings_at(0, None);
    let shrunk = many.merge_successor(few(), &many.names, &IdsInUse::default()).settings;
    assert_eq!(shrunk.config.tenants.len(), 20_000, "requests that arrive meanwhile may still use these ids");
    let next = shrunk.merge_successor(few(), &shrunk.names, &IdsInUse::default()).settings;
    let sizes = (next.config.classes.len(), next.config.tenants.len(), next.network.deadlines.len());
    assert_eq!(sizes, (2 * CLASSES + 1_024, 2 * TENANTS + 1_024, 2 * CLASSES + 1_024));
    assert_eq!(next.names.tenant("tenant-000100"), Some(TenantId(100)));
}
