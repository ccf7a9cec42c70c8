//! The TOML format of scale experiments: which axes are measured at which steps. docs/testbed.md lists every key.

use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::path::Path;
use thiserror::Error;

/// Steps of an axis: fewer do not give a reliable slope, more would take hours.
const STEP_COUNT: std::ops::RangeInclusive<usize> = 4..=12;
/// Largest number of tenants, routes or backends of one proxy: twice the largest known target, within the
/// memory of one machine.
const MAX_ENTRIES: usize = 70_000;
/// Largest number of hollow proxies in one process: each takes two of the about 20,000 descriptors of a process.
const MAX_PROXIES: usize = 4_000;
/// Largest number of repetitions (a median needs one): with this many, any axis takes at most an hour.
const MAX_REPEATS: usize = 50;
/// Largest rate of the measured load, requests a second: low enough that one client thread never limits it.
const MAX_RATE_PER_S: f64 = 5_000.0;
/// Length of a measured window, s.
const WINDOW_S: std::ops::RangeInclusive<f64> = 0.2..=120.0;
/// Largest cost of a call or a line at the stand-in discovery, us.
const MAX_COST_US: f64 = 1e6;
/// Largest rate of restarts, per second: followers must poll again between two restarts.
const MAX_RESTARTS_PER_S: f64 = 100.0;
/// Largest number of restarts in one step.
const MAX_RESTARTS: usize = 5_000;

/// Why a scale experiment cannot be run.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file is not valid TOML, has an unknown key or lacks one; the error says where.
    #[error("{0}: {1}")]
    Malformed(String, toml::de::Error),
    /// A value is outside its range.
    #[error("{file}: {key}: expected {expected}, got {got}")]
    Value {
        /// The file of the experiment.
        file: String,
        /// The key, as `axis[1].steps[0]`.
        key: String,
        /// The expected range.
        expected: String,
        /// The value found.
        got: String,
    },
}

/// The quantity whose size an axis varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AxisKind {
    /// Tenants in the settings of a proxy (`customers`).
    Tenants,
    /// Routes in the settings of a proxy (`profiles`).
    Routes,
    /// Backends in the list of a proxy.
    Backends,
    /// Proxies that poll discovery.
    Proxies,
    /// Members of the gossip between proxies.
    Members,
}

impl AxisKind {
    /// Returns the name of the axis in experiments and tables.
    pub fn name(self) -> &'static str {
        match self {
            AxisKind::Tenants => "tenants",
            AxisKind::Routes => "routes",
            AxisKind::Backends => "backends",
            AxisKind::Proxies => "proxies",
            AxisKind::Members => "members",
        }
    }
}

/// One axis and its steps.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AxisPlan {
    /// The quantity that varies.
    pub of: AxisKind,
    /// The size at each step, increasing.
    pub steps: Vec<usize>,
}

/// The sizes that stay fixed while an axis is measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Base {
    /// Tenants.
    pub tenants: usize,
    /// Routes.
    pub routes: usize,
    /// Backends.
    pub backends: usize,
    /// Zones over which the backends are distributed.
    pub zones: usize,
    /// Hollow proxies in addition to the real ones on the axis of backends.
    pub proxies: usize,
}

impl Default for Base {
    fn default() -> Base {
        Base { tenants: 1, routes: 1, backends: 20, zones: 21, proxies: 20 }
    }
}

/// The load on a real proxy while its settings change.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests a second, each sent on schedule whether or not earlier ones were answered.
    pub rate_per_s: f64,
    /// Length of a measured window, s.
    pub window_s: f64,
}

impl Default for Load {
    fn default() -> Load {
        Load { rate_per_s: 100.0, window_s: 4.0 }
    }
}

/// The capacity of the stand-in discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Capacity {
    /// Cost of a call, us; calls are handled one at a time.
    pub call_us: f64,
    /// Additional cost of each line of an answer, us.
    pub line_us: f64,
}

impl Default for Capacity {
    fn default() -> Capacity {
        Capacity { call_us: 20.0, line_us: 0.2 }
    }
}

/// Changes of the backends while proxies poll discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Churn {
    /// Length of the idle window measured first, s; more than 10 s include one expired long poll of every follower.
    pub rest_s: f64,
    /// Number of backends that restart, one after the other.
    pub restarts: usize,
    /// Rate of these restarts, per second.
    pub restarts_per_s: f64,
    /// Sizes of groups of backends that leave and return at once, such as a rack or a zone.
    pub groups: Vec<usize>,
}

impl Default for Churn {
    fn default() -> Churn {
        Churn { rest_s: 12.0, restarts: 20, restarts_per_s: 2.0, groups: vec![40, 524] }
    }
}

/// A scale experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleExperiment {
    /// Name of the experiment and of its record.
    pub name: String,
    /// One-line description of what the experiment shows.
    pub about: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of measurements of each step; the steps are interleaved.
    pub repeats: usize,
    /// The axes to measure.
    pub axis: Vec<AxisPlan>,
    /// The sizes that stay fixed.
    #[serde(default)]
    pub base: Base,
    /// The load on real proxies.
    #[serde(default)]
    pub load: Load,
    /// The stand-in discovery.
    #[serde(default)]
    pub discovery: Capacity,
    /// Changes of the backends.
    #[serde(default)]
    pub churn: Churn,
}

impl ScaleExperiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Returns the first error, with key, value and range.
    pub fn load(path: &Path) -> Result<ScaleExperiment, ScaleError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScaleError::Unreadable(name.clone(), e))?;
        ScaleExperiment::parse(&name, &text)
    }

    /// Parses and checks a text; errors name `file`.
    ///
    /// # Errors
    /// Returns the first error, with key, value and range.
    pub fn parse(file: &str, text: &str) -> Result<ScaleExperiment, ScaleError> {
        let experiment: ScaleExperiment =
            toml::from_str(text).map_err(|e| ScaleError::Malformed(file.into(), e))?;
        experiment.check(&Checker { file })?;
        Ok(experiment)
    }

    fn check(&self, checker: &Checker) -> Result<(), ScaleError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if self.name.is_empty() || !self.name.chars().all(allowed) {
            return Err(checker.error("name", "letters, digits and hyphens", &self.name));
        }
        checker.within("repeats", self.repeats, 1..=MAX_REPEATS)?;
        checker.within("axis", self.axis.len(), 1..=MAX_AXES)?;
        for (at, axis) in self.axis.iter().enumerate() {
            axis.check(checker, at)?;
        }
        let base = &self.base;
        checker.within("base.tenants", base.tenants, 0..=MAX_ENTRIES)?;
        checker.within("base.routes", base.routes, 1..=MAX_ENTRIES)?;
        checker.within("base.backends", base.backends, 1..=MAX_ENTRIES)?;
        checker.within("base.zones", base.zones, 1..=MAX_ZONES)?;
        checker.within("base.proxies", base.proxies, 0..=MAX_PROXIES)?;
        checker.within("load.rate_per_s", self.load.rate_per_s, 1.0..=MAX_RATE_PER_S)?;
        checker.within("load.window_s", self.load.window_s, WINDOW_S)?;
        checker.within("discovery.call_us", self.discovery.call_us, 0.0..=MAX_COST_US)?;
        checker.within("discovery.line_us", self.discovery.line_us, 0.0..=MAX_COST_US)?;
        checker.within("churn.rest_s", self.churn.rest_s, WINDOW_S)?;
        checker.within("churn.restarts", self.churn.restarts, 1..=MAX_RESTARTS)?;
        checker.within("churn.restarts_per_s", self.churn.restarts_per_s, 0.1..=MAX_RESTARTS_PER_S)?;
        for (at, group) in self.churn.groups.iter().enumerate() {
            checker.within(&format!("churn.groups[{at}]"), *group, 1..=MAX_ENTRIES)?;
        }
        Ok(())
    }
}

/// Largest number of axes in an experiment: the number of variants of [`AxisKind`].
const MAX_AXES: usize = 5;
/// Largest number of zones; each backend names one of them as short text.
const MAX_ZONES: usize = 1_000;

impl AxisPlan {
    fn check(&self, checker: &Checker, at: usize) -> Result<(), ScaleError> {
        let key = format!("axis[{at}].steps");
        checker.within(&format!("{key} (their number)"), self.steps.len(), STEP_COUNT)?;
        let max = match self.of {
            AxisKind::Proxies | AxisKind::Members => MAX_PROXIES,
            AxisKind::Tenants | AxisKind::Routes | AxisKind::Backends => MAX_ENTRIES,
        };
        let mut min = 1;
        for (step, count) in self.steps.iter().enumerate() {
            checker.within(&format!("{key}[{step}]"), *count, min..=max)?;
            min = count + 1;
        }
        Ok(())
    }
}

/// Checks values and creates the errors for one file.
struct Checker<'a> {
    file: &'a str,
}

impl Checker<'_> {
    fn error(&self, key: &str, expected: &str, got: impl Display) -> ScaleError {
        let (file, got) = (self.file.to_string(), got.to_string());
        ScaleError::Value { file, key: key.into(), expected: expected.into(), got }
    }

    fn within<T: PartialOrd + Display>(
        &self, key: &str, got: T, range: std::ops::RangeInclusive<T>,
    ) -> Result<(), ScaleError> {
        if range.contains(&got) {
            return Ok(());
        }
        let expected = format!("from {} to {}", range.start(), range.end());
        Err(self.error(key, &expected, got))
    }
}
