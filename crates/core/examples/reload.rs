//! Measures how long the event loop is blocked when settings of many classes and tenants are replaced.
//! `cargo run --release -p lotusdeck-core --example reload`.

use lotusdeck_core::cordon::Cordon;
use lotusdeck_core::{Clock, Endpoint, Host, OptionalServices};
use lotusdeck_policy::settings::{EndpointRecord, Settings};
use lotusdeck_policy::{Backend, BackendState, Balancer, ListUpdate};
use serde_json::{json, Value};
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Instant;

/// The number of names in settings.
struct Size {
    classes: usize,
    tenants: usize,
}

/// Sizes from a common one to the largest that is planned for.
const SIZES: [Size; 3] = [
    Size { classes: 1_000, tenants: 1_000 },
    Size { classes: 4_000, tenants: 4_000 },
    Size { classes: 16_000, tenants: 34_000 },
];
const BACKENDS: u16 = 1_000;
/// Number of settings changes that are measured.
const CHANGES: usize = 21;
/// Each change replaces one name in this many.
const REPLACED_EVERY: usize = 20;

/// Builds settings with these numbers of classes and tenants, whose names are numbered from `first`.
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
    let name = format!("b{n}");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + n));
    let entry = Backend { state: BackendState::Ready, ..Backend::default() };
    let row = EndpointRecord::new(&name, &address.to_string(), "east", "big", entry);
    Endpoint { name, address, state: BackendState::Ready, row }
}

/// Creates a host with all backends and with settings of these numbers of classes and tenants.
fn host(classes: usize, tenants: usize) -> Result<Rc<Host>, Box<dyn Error>> {
    let settings = Settings::read(&settings(classes, tenants, 0))?;
    let balancer = Balancer::new(settings.config.clone(), 1)?;
    let cordon = Cordon::load(&std::env::temp_dir().join("reload-example"));
    let host = Host::new(balancer, settings, Clock::new(), Vec::new(), cordon, OptionalServices::default());
    host.update_endpoints(ListUpdate::Full, (0..BACKENDS).map(endpoint).collect::<Vec<_>>());
    Ok(host)
}

/// Measures the longest time for which a change of settings blocks the event loop, µs. The merge itself runs on
/// another thread.
fn blocked_us(host: &Rc<Host>, new: Settings) -> Result<f64, Box<dyn Error>> {
    let copy_started = Instant::now();
    let active = host.active_settings();
    let copy_time = copy_started.elapsed();
    let prepared = active.prepare(new);
    let apply_started = Instant::now();
    host.apply_settings(prepared)?;
    Ok(copy_time.max(apply_started.elapsed()).as_secs_f64() * 1e6)
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("{:>8} {:>8} {:>14} {:>14}", "classes", "tenants", "median, us", "worst, us");
    for Size { classes, tenants } in SIZES {
        let host = host(classes, tenants)?;
        let mut blocked = Vec::new();
        for change in 1..=CHANGES {
            let first = change * classes.max(tenants).div_ceil(REPLACED_EVERY);
            blocked.push(blocked_us(&host, Settings::read(&settings(classes, tenants, first))?)?);
        }
        blocked.sort_unstable_by(f64::total_cmp);
        let median = blocked[CHANGES / 2];
        let worst = blocked[CHANGES - 1];
        println!("{classes:>8} {tenants:>8} {median:>14.0} {worst:>14.0}");
    }
    Ok(())
}
