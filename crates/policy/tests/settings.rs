//! Tests that settings apply by name, and only while they are active.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

use lotusdeck_policy::settings::{IdsInUse, Settings};
use serde_json::{json, Value};

/// Builds settings whose customers have these names and quotas, in requests per second.
fn with(customers: &[(&str, f64)]) -> Value {
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
    Settings::read(settings).expect("sound settings")
}

/// Merges `new` with `old`, while no open request uses an id.
fn after(old: &Settings, new: Settings) -> Settings {
    old.merge_successor(new, &old.names, &IdsInUse::default()).settings
}

/// Returns the quota of the customer of that name.
fn quota(settings: &Settings, name: &str) -> Option<f64> {
    settings.names.tenant(name).map(|tenant| settings.config.tenants[tenant.0].quota_per_s)
}

/// Guards against a customer that gets another one's quota, wherever the active settings list it, or keeps its quota
/// when they no longer do. Its id stays its own, as open requests refer to it.
#[test]
fn a_customer_has_the_quota_that_the_settings_in_force_name() {
    let first = read(&with(&[("north", 500.0), ("south", 20.0)]));
    let south = first.names.tenant("south");
    let second = after(&first, read(&with(&[("west", 5.0), ("south", 30.0)])));
    let asked = ["north", "south", "west"];
    assert_eq!(asked.map(|name| quota(&second, name)), [None, Some(30.0), Some(5.0)]);
    assert_eq!(second.names.tenant("south"), south);
    let third = after(&second, read(&with(&[("north", 7.0)])));
    assert_eq!(asked.map(|name| quota(&third, name)), [Some(7.0), None, None]);
    assert_eq!(third.names.tenant("north"), first.names.tenant("north"));
    let none = after(&third, read(&with(&[])));
    assert_eq!(asked.map(|name| quota(&none, name)), [None; 3]);
}

/// Guards against two customers of one name, as quotas are found by name: the error gives the place, and the
/// settings are rejected.
#[test]
fn two_customers_of_one_name_are_refused() {
    let faults = Settings::read(&with(&[("north", 500.0), ("north", 20.0)])).expect_err("a fault");
    let told: Vec<String> = faults.0.iter().map(ToString::to_string).collect();
    assert_eq!(told, ["customers[1].name: expected a name that no other customer has, got \"north\""]);
}

/// Guards against an id that changes its meaning: a class with other side effects is another class, even under the
/// same name.
#[test]
fn a_class_of_another_effect_gets_a_number_of_its_own() {
    let mut changed = with(&[]);
    changed["profiles"][0]["effect"] = "single_shot".into();
    let first = read(&with(&[]));
    let second = after(&first, read(&changed));
    let (was, is) = (first.names.class("read").unwrap(), second.names.class("read").unwrap());
    assert_ne!(was, is);
    assert!(second.config.classes[was.0].retired && !second.config.classes[is.0].retired);
    assert_eq!([was, is].map(|class| second.names.class_name(class)), ["read"; 2]);
    assert_eq!(second.config.classes[was.0].side_effects, first.config.classes[was.0].side_effects);
    let third = after(&second, read(&with(&[])));
    assert_eq!(third.names.class("read"), Some(was), "it has come back");
}
