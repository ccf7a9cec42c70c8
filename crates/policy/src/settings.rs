//! The settings of an instance to the module's configuration, and the names that go with it: shared by
//! the proxy and the simulator's adapter.

use crate::api::*;
use crate::names::DeclaredNames;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::HashSet;
use std::sync::Arc;

pub use crate::faults::{Fault, Faults};
pub use crate::names::{EndpointRecord, Names};
pub use crate::succession::{IdsInUse, SettingsMerge};

/// A fault's text is no longer than this: a value may be large.
const MOST_GOT: usize = 60;

/// A value inside the settings, with the path that led to it. A fault is noted, and reading goes on with a
/// value that stands in, so that all faults are told at once.
struct Key<'a> {
    path: String,
    value: Option<&'a Value>,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> Key<'a> {
    fn get(&self, name: &str) -> Key<'a> {
        let path = if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) };
        Key { path, value: self.value.and_then(|v| v.get(name)), faults: self.faults }
    }
    fn want<T: Default>(&self, got: Option<T>, what: &str) -> T {
        got.unwrap_or_else(|| {
            let cut = |v: &Value| v.to_string().chars().take(MOST_GOT).collect();
            let fault = Fault { key: self.path.clone(), expected: what.into(), got: self.value.map(cut) };
            self.faults.borrow_mut().push(fault);
            T::default()
        })
    }
    fn text(&self) -> &'a str {
        self.want(self.value.and_then(Value::as_str), "text")
    }
    fn flag(&self) -> bool {
        self.want(self.value.and_then(Value::as_bool), "true or false")
    }
    fn real(&self) -> f64 {
        self.want(self.value.and_then(Value::as_f64), "a number")
    }
    fn micros(&self) -> Micros {
        self.want(self.value.and_then(Value::as_u64).map(Micros), "whole microseconds")
    }
    fn count(&self) -> u32 {
        let got = self.value.and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok());
        self.want(got, "a whole number")
    }
    fn list(&self) -> Vec<Key<'a>> {
        let items = self.value.and_then(Value::as_array).map(|items| items.as_slice());
        let items = self.want(items, "an array");
        let item = |(i, v)| Key { path: format!("{}[{i}]", self.path), value: Some(v), faults: self.faults };
        items.iter().enumerate().map(item).collect()
    }
}

/// Reads with `read`, which notes faults; unknown keys are skipped.
fn noting<T>(settings: &Value, read: impl FnOnce(&Key) -> T) -> Result<T, Faults> {
    let faults = RefCell::default();
    let got = read(&Key { path: String::new(), value: Some(settings), faults: &faults });
    // A key that is read twice is at fault once.
    let mut faults: Vec<Fault> = faults.into_inner();
    let mut met = std::collections::BTreeSet::new();
    faults.retain(|f| met.insert((f.key.clone(), f.expected.clone())));
    if faults.is_empty() {
        Ok(got)
    } else {
        Err(Faults(faults))
    }
}

/// Reads what the decision module is told; unknown keys are skipped.
///
/// # Errors
/// Every key that is missing or makes no sense.
pub fn read(settings: &Value) -> Result<(Config, Names), Faults> {
    noting(settings, decisions)
}

/// The name of a class or tenant, which no other may have: rules are found by it.
fn told(key: &Key, names: &mut DeclaredNames, sort: &'static str) {
    let name = key.get("name");
    if !names.push(name.text()) {
        name.want::<()>(None, sort);
    }
}

fn class(key: &Key, names: &mut DeclaredNames) -> Class {
    told(key, names, "a name that no other class has");
    let (effect, scope) = (key.get("effect"), key.get("key_scope"));
    let scope = || match scope.text() {
        "all" => KeyScope::All,
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        _ => {
            scope.want::<()>(None, "all, zone or cell");
            KeyScope::All
        }
    };
    let effect = match effect.text() {
        "free" => SideEffects::None,
        "guarded" => SideEffects::IdempotencyKey { scope: scope(), window: key.get("window_us").micros() },
        "single_shot" => SideEffects::NonIdempotent,
        _ => {
            effect.want::<()>(None, "free, guarded or single_shot");
            SideEffects::NonIdempotent
        }
    };
    let stretch = key.get("aim_stretch");
    let (aim, deadline) = (key.get("aim_us"), key.get("deadline_us").micros());
    if aim.micros() > deadline {
        aim.want::<()>(None, "no more than deadline_us");
    }
    Class {
        latency_objective: aim.micros(),
        objective_per_work_hint: if stretch.value.is_some() { stretch.real() } else { 0.0 },
        side_effects: effect,
        priority_weight: key.get("gain").real(),
        late_value_factor: key.get("late_worth").real(),
        retired: false,
    }
}

fn tenant(key: &Key, names: &mut DeclaredNames) -> Tenant {
    told(key, names, "a name that no other customer has");
    Tenant { quota_per_s: key.get("quota_rps").real() }
}

fn decisions(root: &Key) -> (Config, Names) {
    let mut names = Names::default();
    for zone in root.get("zones").list() {
        names.zones.number(zone.text());
    }
    for kind in root.get("kinds").list() {
        names.kinds.number(kind.text());
    }
    let my_zone = root.get("my_zone");
    let zone = my_zone.value.and_then(Value::as_str).and_then(|zone| names.zones.find(zone));
    let zone = ZoneId(my_zone.want(zone, "one of zones") as u32);
    let profiles = root.get("profiles").list();
    let mut told_classes = DeclaredNames::with_capacity(profiles.len());
    let classes = profiles.iter().map(|key| class(key, &mut told_classes)).collect();
    names.classes = Arc::new(told_classes);
    let customers = root.get("customers").list();
    let mut told_tenants = DeclaredNames::with_capacity(customers.len());
    let tenants = customers.iter().map(|key| tenant(key, &mut told_tenants)).collect();
    names.tenants = Arc::new(told_tenants);
    let (limits, rules, goal) = (root.get("limits"), root.get("rules"), root.get("blend"));
    let discovery = root.get("discovery");
    let discovery = match discovery.text() {
        "automatic" => DiscoveryMode::Push,
        "subscribe" => DiscoveryMode::Subscribe { poll_within: rules.get("must_ask_in_us").micros() },
        _ => {
            discovery.want::<()>(None, "automatic or subscribe");
            DiscoveryMode::Push
        }
    };
    let config = Config {
        proxy_count: root.get("group_size").count(),
        proxy_index: root.get("position").count(),
        zone,
        classes,
        tenants,
        over_quota_factor: root.get("over_share_worth").real(),
        overall_goal_weight: goal.get("whole").real(),
        worst_class_goal_weight: goal.get("worst_class").real(),
        cross_zone_cost: root.get("costs").get("cross_zone").real(),
        discovery,
        max_attempts: limits.get("max_attempts").count(),
        allow_cancel: limits.get("cancel").flag(),
        allow_hedging: limits.get("parallel_tries").flag(),
        tick: root.get("granularity_us").micros(),
        slow_start_floor: rules.get("cold_from").real(),
        slow_start_duration: rules.get("ramp_time_us").micros(),
        overload_multiple: rules.get("fall_multiple").real(),
        overload_window: rules.get("tip_after_us").micros(),
    };
    (config, names)
}

/// What only a proxy on real sockets needs of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSettings {
    /// A connection that is not up by then counts as failed.
    pub connect_timeout: Micros,
    /// Backends close connections that were idle for so long.
    pub idle_timeout: Micros,
    /// The longest advice on when to come again that a client follows; `None` where clients are given none.
    pub max_retry_after: Option<Micros>,
    /// How long a client waits at most, by class.
    pub deadlines: Vec<Micros>,
}

fn sockets(root: &Key) -> NetworkSettings {
    let limits = root.get("limits");
    let deadline = |class: &Key| {
        let key = class.get("deadline_us");
        // What is no time at all was told of already.
        let zero = key.value.and_then(Value::as_u64) == Some(0);
        if zero {
            key.want::<()>(None, "a time above 0");
        }
        Micros(key.value.and_then(Value::as_u64).unwrap_or(0))
    };
    let advised = limits.get("retry_after");
    let advised = advised.value.is_none() || advised.flag();
    let max_retry_after = limits.get("max_retry_after_us").micros();
    NetworkSettings {
        connect_timeout: limits.get("dial_timeout_us").micros(),
        idle_timeout: limits.get("conn_idle_us").micros(),
        max_retry_after: advised.then_some(max_retry_after),
        deadlines: root.get("profiles").list().iter().map(deadline).collect(),
    }
}

/// Everything that the settings say, read and checked as one. A generation of it never changes.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the decision module is told.
    pub config: Config,
    /// The names behind its numbers.
    pub names: Names,
    /// What concerns sockets.
    pub network: NetworkSettings,
}

impl Settings {
    /// Reads them all; nothing is taken where any part is at fault.
    ///
    /// # Errors
    /// All faults at once.
    pub fn read(settings: &Value) -> Result<Settings, Faults> {
        let ((config, names), network) = noting(settings, |root| (decisions(root), sockets(root)))?;
        let unsound = |e: ConfigError| Fault {
            key: e.field.into(),
            expected: e.expected.into(),
            got: Some("none such".into()),
        };
        config.validate().map_err(|e| Faults(vec![unsound(e)]))?;
        Ok(Settings { config, names, network })
    }

    /// What changes from these to `new`, in a few words for the operators.
    pub fn difference(&self, new: &Settings) -> String {
        let (old, now) = (self.current_classes(), new.current_classes());
        let before: HashSet<&ToldClass> = old.iter().collect();
        let after: HashSet<&ToldClass> = now.iter().collect();
        let added = now.iter().filter(|c| !before.contains(c)).map(|c| format!("with class {c}"));
        let dropped = old.iter().filter(|c| !after.contains(c)).map(|c| format!("without class {c}"));
        let (was, is) = (self.config.max_attempts, new.config.max_attempts);
        let attempts = (was != is).then(|| format!("attempts {is} instead of {was}"));
        let mut changes = added.chain(dropped);
        let mut words: Vec<String> = changes.by_ref().take(MOST_WORDS).collect();
        let more = changes.count();
        words.extend((more > 0).then(|| format!("{more} more changes of classes")));
        words.extend(attempts);
        if words.is_empty() {
            "the same classes and attempts".into()
        } else {
            words.join(", ")
        }
    }

    /// The classes that new requests may be of, in the order of their numbers.
    fn current_classes(&self) -> Vec<ToldClass<'_>> {
        let classes = self.names.classes.iter().zip(&self.config.classes).zip(&self.network.deadlines);
        let current = classes.enumerate().filter(|(number, _)| self.names.classes.is_current(*number));
        let told = |(_, ((name, class), deadline)): (usize, ((_, &Class), &Micros))| {
            let (effect, aim, deadline) = (class.side_effects, class.latency_objective, *deadline);
            ToldClass { name, effect, aim, deadline }
        };
        current.map(told).collect()
    }
}

/// Changes of classes that are told one by one: a line of the log stays readable, however many classes
/// change.
const MOST_WORDS: usize = 24;

/// What operators are told of a class.
#[derive(PartialEq, Eq, Hash)]
struct ToldClass<'a> {
    name: &'a str,
    effect: SideEffects,
    aim: Micros,
    deadline: Micros,
}

impl std::fmt::Display for ToldClass<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ToldClass { name, effect, aim, deadline } = self;
        write!(f, "{name} ({effect}, latency objective {} us, deadline {} us)", aim.0, deadline.0)
    }
}
