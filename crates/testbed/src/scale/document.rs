//! Generates node configurations of any size, as a real proxy reads them, and the names in them.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Deadline of every class, us: longer than any measured pause, so that a pause shows as a late answer and not
/// as a failure.
const DEADLINE_US: u64 = 60_000_000;
/// Kinds of machines over which backends are distributed, like a few generations of hardware.
pub const KINDS: [&str; 4] = ["m1", "m2", "m3", "m4"];
/// The random seed of a configuration; any value will do, as no decision is checked here.
const SEED: &str = "00000000000000a7";

/// A tenant's quota, requests a second: never reached by a measured load, so that no request is rejected for it.
const QUOTA: f64 = 1e6;

/// The size of a node configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of tenants.
    pub tenants: usize,
    /// Number of routes.
    pub routes: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of proxies that share the traffic.
    pub proxies: usize,
}

/// The addresses of a proxy and its discovery.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
}

/// Returns the name of a tenant.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number:06}")
}

/// Returns the name of a route's class, which is also the first part of its path.
pub fn route(number: usize) -> String {
    format!("route-{number:06}")
}

/// Returns the name of a zone.
pub fn zone(number: usize) -> String {
    format!("zone-{number:03}")
}

/// Returns the name of a backend.
pub fn backend(number: usize) -> String {
    format!("backend-{number:06}")
}

/// Generates the settings alone. Each `edition` differs from the others in one quota, like a change of configuration.
pub fn settings(size: Size, edition: usize) -> Value {
    let quota = |number: usize| if number == 0 { QUOTA + edition as f64 } else { QUOTA };
    let customers: Vec<Value> =
        (0..size.tenants).map(|number| json!({"name": tenant(number), "quota_rps": quota(number)})).collect();
    let profiles: Vec<Value> = (0..size.routes).map(profile).collect();
    let zones: Vec<String> = (0..size.zones).map(zone).collect();
    json!({
        "blend": {"whole": 0.7, "worst_class": 0.1}, "costs": {"cross_zone": 0.0}, "customers": customers,
        "discovery": "automatic", "position": 0, "group_size": size.proxies, "granularity_us": 5000,
        "kinds": KINDS, "my_zone": zones[0], "zones": zones, "over_share_worth": 0.1,
        "limits": {
            "cancel": true, "max_attempts": 3, "parallel_tries": false, "dial_timeout_us": 300_000,
            "conn_idle_us": 60_000_000, "max_retry_after_us": DEADLINE_US,
        },
        "profiles": profiles,
        "rules": {
            "cold_from": 0.2, "fall_multiple": 2.0, "must_ask_in_us": 9_000_000, "ramp_time_us": 10_000_000,
            "tip_after_us": 1_000_000,
        },
    })
}

fn profile(number: usize) -> Value {
    json!({
        "name": route(number), "aim_us": DEADLINE_US, "deadline_us": DEADLINE_US, "effect": "free",
        "gain": 1.0, "late_worth": 0.0,
    })
}

/// Generates a whole node configuration. It contains no backends: the proxy gets them from discovery.
pub fn node(size: Size, place: Place, edition: usize) -> String {
    let Place { listen, admin, discovery } = place;
    let whole = json!({
        "name": format!("scale-{}", listen.port()), "listen": listen, "admin_addr": admin,
        "discovery": discovery, "seed": SEED,
        "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 4096},
        "known": {"index": 0, "snapshot": true, "endpoints": []},
        "settings": settings(size, edition),
    });
    whole.to_string()
}
