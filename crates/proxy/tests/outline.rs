//! Tests of settings that come from elsewhere than the proxy's own file.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_proxy::config::{NodeConfig, NodeConfigError, SettingsOutline};
use serde_json::{json, Value};

fn settings(position: u32, group_size: u32) -> Value {
    json!({
        "blend": {"whole": 0.6, "worst_class": 0.2}, "costs": {"cross_zone": 0.0}, "customers": [],
        "discovery": "automatic", "position": position, "group_size": group_size, "granularity_us": 5000,
        "kinds": ["big"], "my_zone": "east", "zones": ["west", "east"], "over_share_worth": 0.1,
        "limits": {"cancel": true, "max_attempts": 4, "parallel_tries": true, "dial_timeout_us": 300_000,
            "conn_idle_us": 60_000_000, "max_retry_after_us": 2_000_000},
        "profiles": [{"name": "read", "aim_us": 900_000, "deadline_us": 3_000_000, "effect": "free",
            "gain": 1.0, "late_worth": 0.5}],
        "rules": {"cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 9_000_000,
            "ramp_time_us": 9_000_000, "tip_after_us": 2_000_000},
    })
}

/// Returns the outline of a proxy's file with these settings.
fn outline(name: &str, settings: &Value) -> SettingsOutline {
    let file = json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": 1,
        "settings": settings});
    let path = std::env::temp_dir().join(format!("lotusdeck-outline-{name}-{}", std::process::id()));
    std::fs::write(&path, file.to_string()).unwrap();
    let node = NodeConfig::read(&path, None).unwrap_or_else(|error| panic!("{error}"));
    node.active_file.outline()
}

/// A proxy's own keys come from its file, whatever the settings from elsewhere say.
#[test]
fn a_proxy_keeps_its_own_keys() {
    let outline = outline("own", &settings(7, 9));
    let mut successor = settings(0, 1);
    successor["my_zone"] = json!("west");
    let (read, next) = outline.read_successor(successor.clone()).unwrap();
    assert_eq!((read.config.proxy_index, read.config.proxy_count, read.config.zone.0), (7, 9, 1));
    let (read, _) = next.read_successor(successor).unwrap();
    assert_eq!((read.config.proxy_index, read.config.proxy_count, read.config.zone.0), (7, 9, 1));
}

/// Guards against settings that lack a key of those in force; named entries may be missing.
#[test]
fn a_key_in_force_is_not_left_out() {
    let outline = outline("missing", &settings(0, 1));
    let mut successor = settings(0, 1);
    successor["profiles"] = json!([]);
    successor["rules"].as_object_mut().unwrap().remove("ramp_time_us");
    let refused = outline.read_successor(successor).err();
    assert!(
        matches!(&refused, Some(NodeConfigError::Missing(key)) if key == "rules.ramp_time_us"),
        "{refused:?}"
    );
}
