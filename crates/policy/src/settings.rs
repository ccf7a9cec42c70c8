//! The settings of an instance to the module's configuration, and the names that go with it: shared by
//! the proxy and the simulator's adapter.

use crate::interface::*;
use serde_json::Value;
use std::cell::RefCell;

/// Names in the order of their numbers. Places and kinds met first in a list are numbered then.
#[derive(Clone, Debug, Default)]
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<Told>,
    tenants: Vec<Told>,
}

/// A name that settings told: it keeps its number when later ones leave it out.
#[derive(Clone, Debug)]
struct Told {
    name: String,
    /// New requests may be of it.
    current: bool,
}

impl Told {
    fn new(name: &str) -> Told {
        Told { name: name.into(), current: true }
    }
}

/// An entry of a backend list under its plain names; each proxy has numbers of its own for these.
#[derive(Clone, Debug)]
pub struct Row {
    /// Where it listens.
    pub address: String,
    zone: String,
    kind: String,
    entry: Backend,
}

impl Row {
    /// `same` is what every proxy calls the backend: the order that they share is drawn from it.
    pub fn new(same: &str, address: &str, zone: &str, kind: &str, entry: Backend) -> Row {
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3); // FNV-1a
        let mark = same.bytes().fold(0xcbf2_9ce4_8422_2325, fold) >> 20;
        let entry = Backend { mark, ..entry };
        Row { address: address.into(), zone: zone.into(), kind: kind.into(), entry }
    }
}

fn number(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    });
    at as u32
}

impl Names {
    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|c| c.current && c.name == name).map(ClassId)
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|t| t.current && t.name == name).map(TenantId)
    }

    /// The name of a kind.
    pub fn kind(&self, id: KindId) -> &str {
        self.kinds.get(id.0 as usize).map_or("", |name| name)
    }

    /// The number of the kind of that name, given here where it is new.
    pub fn kind_id(&mut self, name: &str) -> KindId {
        KindId(number(&mut self.kinds, name))
    }

    /// The name of a class, current or retired.
    pub fn class_name(&self, id: ClassId) -> &str {
        self.classes.get(id.0).map_or("", |c| &c.name)
    }

    /// The name of a tenant, current or left out since.
    pub fn tenant_name(&self, id: TenantId) -> &str {
        self.tenants.get(id.0).map_or("", |t| &t.name)
    }

    /// The row as this instance numbers it.
    pub fn entry(&mut self, row: &Row, id: BackendId) -> Backend {
        let zone = ZoneId(number(&mut self.zones, &row.zone));
        let kind = self.kind_id(&row.kind);
        Backend { id, zone, kind, ..row.entry.clone() }
    }
}

/// What is wrong with one key of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, as `rules.cold_from` or `profiles[2].name`.
    pub key: String,
    /// What was expected of it.
    pub expected: String,
    /// What stands there; `None` where nothing does.
    pub got: Option<String>,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Fault { key, expected, got } = self;
        match got {
            Some(got) => write!(f, "{key}: expected {expected}, got {got}"),
            None => write!(f, "{key}: missing, expected {expected}"),
        }
    }
}

/// All that is wrong with the settings, in the order in which it was met; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0.split_first() {
            None => Ok(()),
            Some((first, [])) => write!(f, "{first}"),
            Some((first, rest)) => write!(f, "{first} (and {} more faults)", rest.len()),
        }
    }
}

impl std::error::Error for Faults {}

/// A fault's text is no longer than this: a value may be large.
const MOST_GOT: usize = 60;

/// A value inside the settings, with the path that led to it. A fault is noted, and reading goes on with a value
/// that stands in, so that all faults are told at once.
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
fn told(key: &Key, names: &mut Vec<Told>, sort: &'static str) {
    let name = key.get("name");
    let text = name.text();
    if names.iter().any(|n| n.name == text) {
        name.want::<()>(None, sort);
    }
    names.push(Told::new(text));
}

fn class(key: &Key, names: &mut Vec<Told>) -> Class {
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
        "free" => Effect::Free,
        "guarded" => Effect::Keyed(scope(), key.get("window_us").micros()),
        "single_shot" => Effect::Unsafe,
        _ => {
            effect.want::<()>(None, "free, guarded or single_shot");
            Effect::Unsafe
        }
    };
    let stretch = key.get("aim_stretch");
    let (aim, deadline) = (key.get("aim_us"), key.get("deadline_us").micros());
    if aim.micros() > deadline {
        aim.want::<()>(None, "no more than deadline_us");
    }
    Class {
        aim: aim.micros(),
        aim_stretch: if stretch.value.is_some() { stretch.real() } else { 0.0 },
        effect,
        worth: key.get("gain").real(),
        late_worth: key.get("late_worth").real(),
        retired: false,
    }
}

fn decisions(root: &Key) -> (Config, Names) {
    let mut names = Names::default();
    for zone in root.get("zones").list() {
        number(&mut names.zones, zone.text());
    }
    for kind in root.get("kinds").list() {
        number(&mut names.kinds, kind.text());
    }
    let my_zone = root.get("my_zone");
    let zone = names.zones.iter().position(|z| my_zone.value.and_then(Value::as_str) == Some(z));
    let zone = ZoneId(my_zone.want(zone, "one of zones") as u32);
    let classes = root.get("profiles").list().iter().map(|key| class(key, &mut names.classes)).collect();
    let mut tenants = Vec::new();
    for tenant in root.get("customers").list() {
        told(&tenant, &mut names.tenants, "a name that no other customer has");
        tenants.push(Tenant { quota_per_s: tenant.get("quota_rps").real() });
    }
    let (limits, rules, goal) = (root.get("limits"), root.get("rules"), root.get("blend"));
    let discovery = root.get("discovery");
    let discovery = match discovery.text() {
        "automatic" => Discovery::Push,
        "subscribe" => Discovery::Subscribe(rules.get("must_ask_in_us").micros()),
        _ => {
            discovery.want::<()>(None, "automatic or subscribe");
            Discovery::Push
        }
    };
    let config = Config {
        proxies: root.get("group_size").count(),
        position: root.get("position").count(),
        zone,
        classes,
        tenants,
        over_quota_worth: root.get("over_share_worth").real(),
        goal_whole: goal.get("whole").real(),
        goal_worst_class: goal.get("worst_class").real(),
        cross_zone_cost: root.get("costs").get("cross_zone").real(),
        discovery,
        max_attempts: limits.get("max_attempts").count(),
        cancel: limits.get("cancel").flag(),
        second_copies: limits.get("parallel_tries").flag(),
        tick: root.get("granularity_us").micros(),
        cold_from: rules.get("cold_from").real(),
        ramp: rules.get("ramp_time_us").micros(),
        fall_multiple: rules.get("fall_multiple").real(),
        fall_window: rules.get("tip_after_us").micros(),
    };
    (config, names)
}

/// What only a proxy on real sockets needs of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// A connection that is not up by then counts as failed.
    pub connect_timeout: Micros,
    /// Backends close connections that were idle for so long.
    pub conn_idle: Micros,
    /// The longest advice on when to come again that a client follows; `None` where clients are given none.
    pub max_retry_after: Option<Micros>,
    /// How long a client waits at most, by class.
    pub deadlines: Vec<Micros>,
}

fn sockets(root: &Key) -> Network {
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
    Network {
        connect_timeout: limits.get("dial_timeout_us").micros(),
        conn_idle: limits.get("conn_idle_us").micros(),
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
    pub network: Network,
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

    /// `new` under the numbers of these: a class keeps its number while its name and effect stay, and one of
    /// another effect gets a new one, so that no number ever means something else to an open request.
    /// `names` are these settings' own, with what lists have added.
    pub fn succeeded_by(&self, new: Settings, names: &Names) -> Settings {
        let mut out = Settings { config: new.config, names: names.clone(), network: new.network };
        let zone = &new.names.zones[out.config.zone.0 as usize];
        out.config.zone = ZoneId(number(&mut out.names.zones, zone));
        let classes = std::mem::replace(&mut out.config.classes, self.config.classes.clone());
        let deadlines = std::mem::replace(&mut out.network.deadlines, self.network.deadlines.clone());
        out.config.classes.iter_mut().for_each(|c| c.retired = true);
        // What is left out here holds for nobody who comes from now on.
        out.names.classes.iter_mut().chain(&mut out.names.tenants).for_each(|told| told.current = false);
        for ((class, deadline), named) in classes.into_iter().zip(deadlines).zip(new.names.classes) {
            let same = |(c, n): (&Class, &Told)| n.name == named.name && c.effect == class.effect;
            match out.config.classes.iter().zip(&out.names.classes).position(same) {
                Some(at) => {
                    (out.config.classes[at], out.network.deadlines[at]) = (class, deadline);
                    out.names.classes[at] = named;
                }
                None => {
                    out.config.classes.push(class);
                    out.network.deadlines.push(deadline);
                    out.names.classes.push(named);
                }
            }
        }
        let tenants = std::mem::replace(&mut out.config.tenants, self.config.tenants.clone());
        for (tenant, named) in tenants.into_iter().zip(new.names.tenants) {
            match out.names.tenants.iter().position(|t| t.name == named.name) {
                Some(at) => (out.config.tenants[at], out.names.tenants[at]) = (tenant, named),
                None => {
                    out.config.tenants.push(tenant);
                    out.names.tenants.push(named);
                }
            }
        }
        out
    }

    /// What changes from these to `new`, in a few words for the operators.
    pub fn difference(&self, new: &Settings) -> String {
        let current = |of: &Settings| -> Vec<String> {
            let classes = of.names.classes.iter().zip(&of.config.classes).zip(&of.network.deadlines);
            let current = classes.filter(|((n, _), _)| n.current);
            let told = |((n, c), d): ((&Told, &Class), &Micros)| {
                format!("{} ({:?}, aim {} us, deadline {} us)", n.name, c.effect, c.aim.0, d.0)
            };
            current.map(told).collect()
        };
        let (old, now) = (current(self), current(new));
        let added = now.iter().filter(|c| !old.contains(c)).map(|c| format!("with class {c}"));
        let dropped = old.iter().filter(|c| !now.contains(c)).map(|c| format!("without class {c}"));
        let (was, is) = (self.config.max_attempts, new.config.max_attempts);
        let attempts = (was != is).then(|| format!("attempts {is} instead of {was}"));
        let words: Vec<String> = added.chain(dropped).chain(attempts).collect();
        if words.is_empty() {
            "the same classes and attempts".into()
        } else {
            words.join(", ")
        }
    }
}
