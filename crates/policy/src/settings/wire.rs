//! Translates the platform's keys of the settings into the terms of the decision module. No other file reads
//! these keys.

use super::document::{read_document, DocumentKey};
use super::faults::Faults;
use super::name_table::DeclaredNames;
use super::names::Names;
use super::network::NetworkSettings;
use crate::api::{
    AttemptLimits, Class, Config, DiscoveryMode, GoalWeights, KeyScope, Micros, SideEffects, SlowStartConfig,
    Tenant, ZoneId,
};
use serde_json::Value;
use std::sync::Arc;

/// Reads the configuration of the decision module, and the names that belong to its ids; unknown keys are
/// ignored.
///
/// # Errors
/// Returns every key that is missing or invalid.
pub fn read(document: &Value) -> Result<(Config, Names), Faults> {
    read_document(document, read_config)
}

/// Reads the configuration, the names and the settings for sockets.
pub(super) fn read_all(document: &Value) -> Result<(Config, Names, NetworkSettings), Faults> {
    read_document(document, |root| {
        let (config, names) = read_config(root);
        (config, names, read_network(root))
    })
}

fn read_config(root: &DocumentKey<'_>) -> (Config, Names) {
    let mut names = read_places(root);
    let zone = read_own_zone(root, &names);
    let (classes, class_names) = read_classes(root);
    names.classes = Arc::new(class_names);
    let (tenants, tenant_names) = read_tenants(root);
    names.tenants = Arc::new(tenant_names);
    let limits = root.get("limits");
    let rules = root.get("rules");
    let goal = root.get("blend");
    let config = Config {
        discovery: read_discovery(root),
        proxy_count: root.get("group_size").count(),
        proxy_index: root.get("position").count(),
        zone,
        classes,
        tenants,
        over_quota_factor: root.get("over_share_worth").float(),
        goal: GoalWeights {
            overall: goal.get("whole").float(),
            worst_class: goal.get("worst_class").float(),
            cross_zone_cost: root.get("costs").get("cross_zone").float(),
        },
        attempts: AttemptLimits {
            max_attempts: limits.get("max_attempts").count(),
            allow_cancel: limits.get("cancel").boolean(),
            allow_hedging: limits.get("parallel_tries").boolean(),
        },
        tick: root.get("granularity_us").micros(),
        slow_start: SlowStartConfig {
            floor: rules.get("cold_from").float(),
            duration: rules.get("ramp_time_us").micros(),
            overload_multiple: rules.get("fall_multiple").float(),
            overload_window: rules.get("tip_after_us").micros(),
        },
    };
    (config, names)
}

/// Reads the names of zones and kinds.
fn read_places(root: &DocumentKey<'_>) -> Names {
    let mut names = Names::default();
    for zone in root.get("zones").list() {
        names.zones.number(zone.text());
    }
    for kind in root.get("kinds").list() {
        names.kinds.number(kind.text());
    }
    names
}

fn read_own_zone(root: &DocumentKey<'_>, names: &Names) -> ZoneId {
    let key = root.get("my_zone");
    let zone = key.as_text().and_then(|zone| names.zones.find(zone));
    ZoneId(key.require(zone, "one of zones") as u32)
}

fn read_classes(root: &DocumentKey<'_>) -> (Vec<Class>, DeclaredNames) {
    let profiles = root.get("profiles").list();
    let mut names = DeclaredNames::with_capacity(profiles.len());
    let classes = profiles.iter().map(|profile| read_class(profile, &mut names)).collect();
    (classes, names)
}

fn read_tenants(root: &DocumentKey<'_>) -> (Vec<Tenant>, DeclaredNames) {
    let customers = root.get("customers").list();
    let mut names = DeclaredNames::with_capacity(customers.len());
    let tenants = customers.iter().map(|customer| read_tenant(customer, &mut names)).collect();
    (tenants, names)
}

/// Reads and declares the name of a class or tenant, which must be unique, as rules are looked up by name.
fn declare_name(entry: &DocumentKey<'_>, names: &mut DeclaredNames, expected: &str) {
    let name = entry.get("name");
    if !names.push(name.text()) {
        name.record_fault(expected);
    }
}

fn read_tenant(customer: &DocumentKey<'_>, names: &mut DeclaredNames) -> Tenant {
    declare_name(customer, names, "a name that no other customer has");
    Tenant { quota_per_s: customer.get("quota_rps").float() }
}

fn read_class(profile: &DocumentKey<'_>, names: &mut DeclaredNames) -> Class {
    declare_name(profile, names, "a name that no other class has");
    let side_effects = read_side_effects(profile);
    let objective = profile.get("aim_us");
    let deadline = profile.get("deadline_us").micros();
    if objective.micros() > deadline {
        objective.record_fault("no more than deadline_us");
    }
    let stretch = profile.get("aim_stretch");
    Class {
        latency_objective: objective.micros(),
        objective_per_work_hint: if stretch.is_present() { stretch.float() } else { 0.0 },
        side_effects,
        priority_weight: profile.get("gain").float(),
        late_value_factor: profile.get("late_worth").float(),
        retired: false,
    }
}

fn read_side_effects(profile: &DocumentKey<'_>) -> SideEffects {
    let effect = profile.get("effect");
    match effect.text() {
        "free" => SideEffects::None,
        "guarded" => SideEffects::IdempotencyKey {
            scope: read_key_scope(&profile.get("key_scope")),
            window: profile.get("window_us").micros(),
        },
        "single_shot" => SideEffects::NonIdempotent,
        _ => {
            effect.record_fault("free, guarded or single_shot");
            SideEffects::NonIdempotent
        }
    }
}

fn read_key_scope(scope: &DocumentKey<'_>) -> KeyScope {
    match scope.text() {
        "all" => KeyScope::All,
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        _ => {
            scope.record_fault("all, zone or cell");
            KeyScope::All
        }
    }
}

fn read_discovery(root: &DocumentKey<'_>) -> DiscoveryMode {
    let discovery = root.get("discovery");
    match discovery.text() {
        "automatic" => DiscoveryMode::Push,
        "subscribe" => {
            DiscoveryMode::Subscribe { poll_within: root.get("rules").get("must_ask_in_us").micros() }
        }
        _ => {
            discovery.record_fault("automatic or subscribe");
            DiscoveryMode::Push
        }
    }
}

fn read_network(root: &DocumentKey<'_>) -> NetworkSettings {
    let limits = root.get("limits");
    let retry_after = limits.get("retry_after");
    let sends_retry_after = !retry_after.is_present() || retry_after.boolean();
    let max_retry_after = limits.get("max_retry_after_us").micros();
    NetworkSettings {
        connect_timeout: limits.get("dial_timeout_us").micros(),
        idle_timeout: limits.get("conn_idle_us").micros(),
        max_retry_after: sends_retry_after.then_some(max_retry_after),
        deadlines: root.get("profiles").list().iter().map(read_deadline).collect(),
    }
}

/// Reads the deadline of a class. [`read_class`] has already reported a value that is not a time.
fn read_deadline(profile: &DocumentKey<'_>) -> Micros {
    let key = profile.get("deadline_us");
    let deadline = key.as_u64();
    if deadline == Some(0) {
        key.record_fault("a time above 0");
    }
    Micros(deadline.unwrap_or(0))
}
