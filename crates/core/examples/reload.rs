//! How long the event loop is held when settings of many classes and tenants follow upon others.
//! `cargo run --release -p lotusdeck-core --example reload`.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

use lotusdeck_core::cordon::Cordon;
use lotusdeck_core::{Clock, Endpoint, Host, OptionalServices};
use lotusdeck_policy::settings::{EndpointRecord, Settings};
use lotusdeck_policy::{Backend, BackendState, Balancer, ListUpdate};
use serde_json::{json, Value};
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

/// Classes and tenants, from what is served today to what is expected in two years.
const SIZES: [(usize, usize); 3] = [(1_000, 1_000), (4_000, 4_000), (16_000, 34_000)];
/// Backends that the module knows.
const BACKENDS: u16 = 1_000;
/// Changes of settings; each replaces one name in so many.
const CHANGES: usize = 21;
const REPLACED: usize = 20;

/// Settings of so many classes and tenants, whose names are numbered from `first` on.
fn settings(classes: usize, tenants: usize, first: usize) -> Value {
    let class = |i| {
        json!({"name": format!("class-{i:05}"), "aim_us": 900_000, "deadline_us": 3_000_000, "effect": "free",
            "gain": 1.0, "late_worth": 0.5})
    };
    let tenant = |i| json!({"name": format!("tenant-{i:05}"), "quota_rps": 10.0});
    json!({
        "blend": {"whole": 0.6, "worst_class": 0.2}, "costs": {"cross_zone": 0.0},
        "customers": (first..first + tenants).map(tenant).collect::<Vec<Value>>(),
        "discovery": "automatic", "position": 0, "group_size": 1, "granularity_us": 5000, "kinds": ["big"],
        "my_zone": "east", "zones": ["east"], "over_share_worth": 0.1,
        "limits": {"cancel": true, "max_attempts": 4, "parallel_tries": true, "dial_timeout_us": 300_000,
            "conn_idle_us": 60_000_000, "max_retry_after_us": 2_000_000},
        "profiles": (first..first + classes).map(class).collect::<Vec<Value>>(),
        "rules": {"cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 9_000_000,
            "ramp_time_us": 9_000_000, "tip_after_us": 2_000_000},
    })
}

fn endpoint(n: u16) -> Endpoint {
    let (name, address) = (format!("b{n}"), SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + n)));
    let entry = Backend { state: BackendState::Ready, ..Backend::default() };
    let row = EndpointRecord::new(&name, &address.to_string(), "east", "big", entry);
    Endpoint { name, address, state: BackendState::Ready, row }
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("{:>8} {:>8} {:>14} {:>14}", "classes", "tenants", "median, us", "worst, us");
    for (classes, tenants) in SIZES {
        let first = Settings::read(&settings(classes, tenants, 0))?;
        let balancer = Balancer::new(first.config.clone(), 1)?;
        let cordon = Cordon::load(&std::env::temp_dir().join("reload-example"));
        let host = Host::new(balancer, first, Clock::new(), Vec::new(), cordon, OptionalServices::default());
        host.update_endpoints(ListUpdate::Full, (0..BACKENDS).map(endpoint).collect::<Vec<_>>());
        let mut holds = Vec::new();
        for change in 1..=CHANGES {
            let first = change * classes.max(tenants).div_ceil(REPLACED);
            let new = Settings::read(&settings(classes, tenants, first))?;
            let began = Instant::now();
            let in_force = host.active_settings();
            let before = began.elapsed();
            let successor = in_force.prepare(new); // on another thread
            let began = Instant::now();
            host.apply_settings(successor)?;
            holds.push(before.max(began.elapsed()).as_secs_f64() * 1e6);
        }
        holds.sort_unstable_by(f64::total_cmp);
        println!("{classes:>8} {tenants:>8} {:>14.0} {:>14.0}", holds[CHANGES / 2], holds[CHANGES - 1]);
    }
    Ok(())
}
