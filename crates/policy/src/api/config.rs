//! The configuration of a balancer and its validation.

use super::id::{ClassId, TenantId, ZoneId};
use super::time::Micros;

/// The configuration of one proxy's balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of proxies that share the traffic, this one included.
    pub proxy_count: u32,
    /// Index of this proxy among them, from 0.
    pub proxy_index: u32,
    /// The zone of this proxy.
    pub zone: ZoneId,
    /// The request classes; a [`ClassId`] is an index into them.
    pub classes: Vec<Class>,
    /// The tenants; may be empty. A [`TenantId`] is an index into them.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's quota, relative to one within it; from 0 to 1.
    pub over_quota_factor: f64,
    /// The weights of the operators' goal.
    pub goal: GoalWeights,
    /// How updates of the endpoint list arrive.
    pub discovery: DiscoveryMode,
    /// Limits on the attempts of a request.
    pub attempts: AttemptLimits,
    /// Time resolution, and the shortest timer.
    pub tick: Micros,
    /// How backends warm up.
    pub slow_start: SlowStartConfig,
}

/// The weights of the operators' goal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GoalWeights {
    /// Weight of all traffic; from 0 to 1.
    pub overall: f64,
    /// Weight of the worst-served class; from 0 to 1.
    pub worst_class: f64,
    /// Cost in the goal if every request crosses zones once; 0 or more.
    pub cross_zone_cost: f64,
}

/// Limits on the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Maximum number of attempts of a request, including the first.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    pub allow_cancel: bool,
    /// Whether a request may have two attempts in flight at once.
    pub allow_hedging: bool,
}

/// How backends warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// The part of its capacity that a backend has when it starts; from 0 to 1.
    pub floor: f64,
    /// Maximum time after its start until a backend has its full capacity.
    pub duration: Micros,
    /// A backend in slow start fails when it receives more than this multiple of its current capacity over
    /// [`overload_window`](SlowStartConfig::overload_window).
    pub overload_multiple: f64,
    /// The time to which `overload_multiple` applies.
    pub overload_window: Micros,
}

impl Config {
    /// Returns a small valid configuration: one zone, three proxies, one class without side effects.
    pub fn example() -> Config {
        Config {
            proxy_count: 3,
            proxy_index: 0,
            zone: ZoneId(0),
            classes: vec![Class {
                latency_objective: Micros(500_000),
                objective_per_work_hint: 0.0,
                side_effects: SideEffects::None,
                priority_weight: 1.0,
                late_value_factor: 0.0,
                retired: false,
            }],
            tenants: Vec::new(),
            over_quota_factor: 0.1,
            goal: GoalWeights { overall: 1.0, worst_class: 0.0, cross_zone_cost: 0.0 },
            discovery: DiscoveryMode::Push,
            attempts: AttemptLimits { max_attempts: 3, allow_cancel: true, allow_hedging: true },
            tick: Micros(5_000),
            slow_start: SlowStartConfig {
                floor: 0.3,
                duration: Micros(10_000_000),
                overload_multiple: 3.0,
                overload_window: Micros(2_000_000),
            },
        }
    }

    /// Checks the range of every field.
    ///
    /// # Errors
    /// Returns the first field that is out of range.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let is_fraction = |number: f64| (0.0..=1.0).contains(&number);
        let is_positive = |number: f64| number > 0.0 && number.is_finite();
        let classes = &self.classes;
        require(self.proxy_count > 0, "proxies", "at least 1")?;
        require(self.proxy_index < self.proxy_count, "position", "less than proxies")?;
        require(classes.iter().any(|c| !c.retired), "classes", "at least one class")?;
        require(classes.iter().all(|c| c.latency_objective.0 > 0), "aim", "a time above 0")?;
        require(classes.iter().all(|c| c.objective_per_work_hint >= 0.0), "aim_stretch", "at least 0")?;
        require(classes.iter().all(|c| is_positive(c.priority_weight)), "worth", "a finite number above 0")?;
        require(
            classes.iter().all(|c| is_fraction(c.late_value_factor)),
            "late_worth",
            "a part from 0 to 1",
        )?;
        require(
            self.tenants.iter().all(|t| is_positive(t.quota_per_s)),
            "quota_per_s",
            "a finite rate above 0",
        )?;
        require(is_fraction(self.over_quota_factor), "over_quota_worth", "a part from 0 to 1")?;
        require(is_fraction(self.goal.overall), "goal_whole", "a part from 0 to 1")?;
        require(is_fraction(self.goal.worst_class), "goal_worst_class", "a part from 0 to 1")?;
        require(self.goal.cross_zone_cost >= 0.0, "cross_zone_cost", "at least 0")?;
        require(self.attempts.max_attempts > 0, "max_attempts", "at least 1")?;
        require(self.tick.0 > 0, "tick", "a time above 0")?;
        require(is_fraction(self.slow_start.floor), "cold_from", "a part from 0 to 1")?;
        require(is_positive(self.slow_start.overload_multiple), "fall_multiple", "a finite number above 0")?;
        Ok(())
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time has the full value.
    pub latency_objective: Micros,
    /// Multiple of the request's work hint by which the latency objective is extended.
    pub objective_per_work_hint: f64,
    /// The effect of running a request twice.
    pub side_effects: SideEffects,
    /// Value of a request relative to those of other classes.
    pub priority_weight: f64,
    /// Part of the value that an answer after the latency objective has; from 0 to 1.
    pub late_value_factor: f64,
    /// Whether the class is retired: it gets no new requests, and open ones are completed under its rules.
    pub retired: bool,
}

/// Ids that have a new meaning, so that nothing recorded under them applies any more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReassignedIds {
    /// Ids of classes, in ascending order.
    pub classes: Vec<ClassId>,
    /// Ids of tenants, in ascending order.
    pub tenants: Vec<TenantId>,
}

impl Class {
    /// Returns whether a new request of the class may fail or run twice without harm.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.side_effects == SideEffects::None && !self.retired
    }
}

/// The effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SideEffects {
    /// None: the request may be repeated and rejected freely.
    None,
    /// Requests carry an idempotency key: the backends of one scope discard duplicates for a time.
    IdempotencyKey {
        /// Which backends discard each other's duplicates.
        scope: KeyScope,
        /// How long after the first attempt was sent duplicates are discarded.
        window: Micros,
    },
    /// Running the request twice would do harm.
    NonIdempotent,
}

impl std::fmt::Display for SideEffects {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SideEffects::None => "no side effects",
            SideEffects::IdempotencyKey { .. } => "idempotency key",
            SideEffects::NonIdempotent => "non-idempotent",
        })
    }
}

/// Which backends discard each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all proxies, that have their full value.
    pub quota_per_s: f64,
}

/// How updates of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Without a subscription.
    Push,
    /// After a subscription by [`Action::WatchEndpoints`](super::Action::WatchEndpoints).
    Subscribe {
        /// Time after which a proxy that has not subscribed again counts as notified of every update.
        poll_within: Micros,
    },
}

/// A field of a configuration that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The operators' name of the field.
    pub field: &'static str,
    /// The values that are valid.
    pub expected: &'static str,
}

fn require(condition: bool, field: &'static str, expected: &'static str) -> Result<(), ConfigError> {
    if condition {
        Ok(())
    } else {
        Err(ConfigError { field, expected })
    }
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: expected {}", self.field, self.expected)
    }
}

impl std::error::Error for ConfigError {}
