//! Tests that settings apply by name, and only while they are active.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_policy::settings::{IdsInUse, Settings};
use serde_json::{json, Value};

/// Builds settings whose customers have these names and quotas, in requests per second.
fn settings_with(customers: &[(&str, f64)]) -> Value {
    let customers: Vec<Value> =
        customers.iter().map(|(name, rps)| json!({"name": name, "quota_rps": rps})).collect();
    json!({
        "blend": {"whole": 0.6, "worst_class": 0.2}, "costs": {"cross_zone": 0.0}, "customers": customers,
        "discovery": "automatic", "position": 0, "group_size": 1, "granularity_us": 5000, "kinds": ["big"],
        "my_zone": "east", "zones": ["east"], "over_share_worth": 0.1,
        "limits": {"cancel": true, "max_attempts": 4, "parallel_tries": true, "dial_timeout_us": 300_000,
            "conn_idle_us": 60_000_000, "max_retry_after_us": 2_000_000},
        "profiles": [{"name": "read", "aim_us": 900_000, "deadline_us": 3_000_000, "effect": "free",
            "gain": 1.0, "late_worth": 0.5}],
        "rules": {"cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 9_000_000,
            "ramp_time_us": 9_000_000, "tip_after_us": 2_000_000},
    })
}

fn read(settings: &Value) -> Settings {
    Settings::read(settings).expect("valid settings")
}

/// Merges `new` with `old`, while no open request uses an id.
fn merged_after(old: &Settings, new: Settings) -> Settings {
    old.merge_successor(new, &old.names, &IdsInUse::default()).settings
}

/// Returns the quota of the customer of that name.
fn quota(settings: &Settings, name: &str) -> Option<f64> {
    settings.names.tenant(name).map(|tenant| settings.config.tenants[tenant.0].quota_per_s)
}

/// Guards against a customer that gets another one's quota, wherever the active settings list it, or keeps its quota
/// when they no longer do. It keeps its id, as open requests refer to it.
#[test]
fn a_customer_has_the_quota_of_the_active_settings() {
    let first = read(&settings_with(&[("north", 500.0), ("south", 20.0)]));
    let south = first.names.tenant("south");
    let second = merged_after(&first, read(&settings_with(&[("west", 5.0), ("south", 30.0)])));
    let customers = ["north", "south", "west"];
    assert_eq!(customers.map(|name| quota(&second, name)), [None, Some(30.0), Some(5.0)]);
    assert_eq!(second.names.tenant("south"), south);
    let third = merged_after(&second, read(&settings_with(&[("north", 7.0)])));
    assert_eq!(customers.map(|name| quota(&third, name)), [Some(7.0), None, None]);
    assert_eq!(third.names.tenant("north"), first.names.tenant("north"));
    let none = merged_after(&third, read(&settings_with(&[])));
    assert_eq!(customers.map(|name| quota(&none, name)), [None; 3]);
}

/// Guards against two customers of one name, as quotas are found by name: the error gives the position, and the
/// settings are rejected.
#[test]
fn two_customers_of_one_name_are_rejected() {
    let faults = Settings::read(&settings_with(&[("north", 500.0), ("north", 20.0)])).expect_err("an error");
    let messages: Vec<String> = faults.0.iter().map(ToString::to_string).collect();
    assert_eq!(messages, ["customers[1].name: expected a name that no other customer has, got \"north\""]);
}

/// Guards against an id that changes its meaning: a class with other side effects is another class, even under the
/// same name.
#[test]
fn a_class_with_other_side_effects_gets_an_id_of_its_own() {
    let mut changed = settings_with(&[]);
    changed["profiles"][0]["effect"] = "single_shot".into();
    let first = read(&settings_with(&[]));
    let second = merged_after(&first, read(&changed));
    let (old_id, new_id) = (first.names.class("read").unwrap(), second.names.class("read").unwrap());
    assert_ne!(old_id, new_id);
    assert!(second.config.classes[old_id.0].retired && !second.config.classes[new_id.0].retired);
    assert_eq!([old_id, new_id].map(|class| second.names.class_name(class)), ["read"; 2]);
    assert_eq!(second.config.classes[old_id.0].side_effects, first.config.classes[old_id.0].side_effects);
    let third = merged_after(&second, read(&settings_with(&[])));
    assert_eq!(third.names.class("read"), Some(old_id), "the first id is used again");
}
