//! Node configurations and list lines of any size, as a real proxy reads them.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Every class has so long, us: longer than any pause that is measured, so that a pause shows as a late answer and
/// not as a failure.
const DEADLINE_US: u64 = 60_000_000;
/// Kinds of machines that backends are dealt out over: a few generations of hardware.
pub const KINDS: [&str; 4] = ["m1", "m2", "m3", "m4"];
/// First seconds of a configuration's seed; any will do, as no decision is judged here.
const SEED: &str = "00000000000000a7";

/// A tenant's quota, requests a second: never reached by a measured load, so that none is refused for it.
const QUOTA: f64 = 1e6;

/// The size of a node configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Tenants.
    pub tenants: usize,
    /// Routes.
    pub routes: usize,
    /// Zones.
    pub zones: usize,
    /// Proxies that share the traffic.
    pub proxies: usize,
}

/// Where a proxy listens and whom it follows.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// For clients.
    pub listen: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
}

/// The name of a tenant.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number:06}")
}

/// The name of a route's class, which is also the first part of its path.
pub fn route(number: usize) -> String {
    format!("route-{number:06}")
}

/// The name of a zone.
pub fn zone(number: usize) -> String {
    format!("zone-{number:03}")
}

/// The name of a backend.
pub fn backend(number: usize) -> String {
    format!("backend-{number:06}")
}

/// The settings alone. `edition` makes each differ from the last in one quota, as a change of configuration does.
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

/// A whole node configuration. It knows no backend: discovery tells it all.
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
