//! Settings of a site of the planned size.

use lotusdeck_configuration::source::SourceAnswer;
use lotusdeck_configuration::{Entry, Key, Poll, Section, Source, Version};
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::Duration;

pub(crate) const PROFILES: usize = 16_000;
pub(crate) const CUSTOMERS: usize = 34_000;
pub(crate) const PROXIES: u64 = 1_200;

fn profile(index: usize) -> Value {
    json!({"name": format!("route-{index:05}-of-some-service"), "aim_us": 250_000 + index,
        "deadline_us": 500_000 + index, "effect": "free", "gain": 1.0, "key_scope": "all", "late_worth": 0.0,
        "stream": false, "window_us": 5_000_000})
}

fn customer(index: usize) -> Value {
    json!({"name": format!("tenant-{index:05}"), "quota_rps": 50.5 + index as f64, "share": 1.0})
}

/// Returns settings in the platform's format.
pub(crate) fn settings() -> Value {
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

/// Returns the entry of a customer with the given quota.
pub(crate) fn quota_entry(customer: usize, quota: f64) -> Entry {
    let key = Key::new(Section::Customers, &format!("tenant-{customer:05}"));
    Entry { key, value: json!({"quota_rps": quota, "share": 1.0}).to_string().into() }
}

/// Returns the source's answer to a follower at the version `after`.
pub(crate) fn answer(source: &mut Source, after: Option<Version>) -> Arc<str> {
    match source.answer_poll(&Poll { after, rejected_version: None, wait: Duration::ZERO }) {
        SourceAnswer::Now(text) => text,
        SourceAnswer::Later => panic!("the source has no later version"),
    }
}
