//! Scale experiments: which axes are walked in which steps, as TOML. docs/testbed.md lists every key.

use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::path::Path;
use thiserror::Error;

/// A slope over fewer steps is no slope; more would take hours.
const STEPS: std::ops::RangeInclusive<usize> = 4..=12;
/// Tenants, routes or backends of one proxy: twice the largest known target, within the memory of one machine.
const MOST_ENTRIES: usize = 70_000;
/// Hollow proxies of one process: each takes two descriptors, of some 20,000 that a process may hold.
const MOST_PROXIES: usize = 4_000;
/// Repetitions: a median needs one, and an hour is enough for any axis with this many.
const MOST_REPEATS: usize = 50;
/// Requests a second of the measured load: few enough that one client thread is never what limits it.
const MOST_RATE: f64 = 5_000.0;
/// Seconds of one measured window.
const WINDOW: std::ops::RangeInclusive<f64> = 0.2..=120.0;
/// What a call or a line costs the stand-in discovery at most, us.
const MOST_COST_US: f64 = 1e6;
/// Restarts played a second at most: followers must have asked again between two.
const MOST_CHURN: f64 = 100.0;
/// Restarts of one step at most.
const MOST_RESTARTS: usize = 5_000;

/// Why a scale experiment cannot be played.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no TOML, has an unknown key or lacks one; the text says where.
    #[error("{0}: {1}")]
    Malformed(String, toml::de::Error),
    /// A value lies outside its range.
    #[error("{file}: {key}: expected {expected}, got {got}")]
    Value {
        /// The experiment.
        file: String,
        /// The key, as `axis[1].steps[0]`.
        key: String,
        /// The range.
        expected: String,
        /// What stands there.
        got: String,
    },
}

/// What is walked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AxisKind {
    /// Tenants in the settings of a proxy (`customers`).
    Tenants,
    /// Routes in the settings of a proxy (`profiles`).
    Routes,
    /// Backends in the list of a proxy.
    Backends,
    /// Proxies that follow discovery.
    Proxies,
    /// Members of the proxies' own membership and talk.
    Members,
}

impl AxisKind {
    /// Its name as it stands in experiments and tables.
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
    /// What is walked.
    pub of: AxisKind,
    /// How many there are at each step, rising.
    pub steps: Vec<usize>,
}

/// What stays the same while an axis is walked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Base {
    /// Tenants.
    pub tenants: usize,
    /// Routes.
    pub routes: usize,
    /// Backends.
    pub backends: usize,
    /// Zones that the backends are dealt out over.
    pub zones: usize,
    /// Hollow proxies beside the real ones on the axis of backends.
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
    /// Requests a second, each due at its time whether or not others were answered.
    pub rate_per_s: f64,
    /// Seconds of one window.
    pub window_s: f64,
}

impl Default for Load {
    fn default() -> Load {
        Load { rate_per_s: 100.0, window_s: 4.0 }
    }
}

/// What the stand-in discovery can do.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Capacity {
    /// What a call costs, us; calls are handled in turn.
    pub call_us: f64,
    /// What each line of an answer costs beyond it, us.
    pub line_us: f64,
}

impl Default for Capacity {
    fn default() -> Capacity {
        Capacity { call_us: 20.0, line_us: 0.2 }
    }
}

/// What happens to the backends while proxies follow.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Churn {
    /// Seconds of rest that are measured first; over 10 s hold one expired wait of every follower.
    pub rest_s: f64,
    /// Backends that restart, one after the other.
    pub restarts: usize,
    /// How many a second.
    pub restarts_per_s: f64,
    /// Groups of backends that go and come back at once: a rack, a zone.
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
    /// Its name; it also names its record.
    pub name: String,
    /// One line on what it shows.
    pub about: String,
    /// Seed of all draws.
    pub seed: u64,
    /// How often each step is measured; steps are interleaved.
    pub repeats: usize,
    /// What is walked.
    pub axis: Vec<AxisPlan>,
    /// What stays the same meanwhile.
    #[serde(default)]
    pub base: Base,
    /// The load on real proxies.
    #[serde(default)]
    pub load: Load,
    /// The stand-in discovery.
    #[serde(default)]
    pub discovery: Capacity,
    /// What happens to the backends.
    #[serde(default)]
    pub churn: Churn,
}

impl ScaleExperiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Its first fault, with key, value and range.
    pub fn load(path: &Path) -> Result<ScaleExperiment, ScaleError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScaleError::Unreadable(name.clone(), e))?;
        ScaleExperiment::parse(&name, &text)
    }

    /// Reads and checks a text; `file` is named in errors.
    ///
    /// # Errors
    /// Its first fault, with key, value and range.
    pub fn parse(file: &str, text: &str) -> Result<ScaleExperiment, ScaleError> {
        let experiment: ScaleExperiment =
            toml::from_str(text).map_err(|e| ScaleError::Malformed(file.into(), e))?;
        experiment.check(&Checker { file })?;
        Ok(experiment)
    }

    fn check(&self, checker: &Checker) -> Result<(), ScaleError> {
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if self.name.is_empty() || !self.name.chars().all(plain) {
            return Err(checker.fault("name", "letters, digits and hyphens", &self.name));
        }
        checker.within("repeats", self.repeats, 1..=MOST_REPEATS)?;
        checker.within("axis", self.axis.len(), 1..=AXES)?;
        for (at, axis) in self.axis.iter().enumerate() {
            axis.check(checker, at)?;
        }
        let base = &self.base;
        checker.within("base.tenants", base.tenants, 0..=MOST_ENTRIES)?;
        checker.within("base.routes", base.routes, 1..=MOST_ENTRIES)?;
        checker.within("base.backends", base.backends, 1..=MOST_ENTRIES)?;
        checker.within("base.zones", base.zones, 1..=MOST_ZONES)?;
        checker.within("base.proxies", base.proxies, 0..=MOST_PROXIES)?;
        checker.within("load.rate_per_s", self.load.rate_per_s, 1.0..=MOST_RATE)?;
        checker.within("load.window_s", self.load.window_s, WINDOW)?;
        checker.within("discovery.call_us", self.discovery.call_us, 0.0..=MOST_COST_US)?;
        checker.within("discovery.line_us", self.discovery.line_us, 0.0..=MOST_COST_US)?;
        checker.within("churn.rest_s", self.churn.rest_s, WINDOW)?;
        checker.within("churn.restarts", self.churn.restarts, 1..=MOST_RESTARTS)?;
        checker.within("churn.restarts_per_s", self.churn.restarts_per_s, 0.1..=MOST_CHURN)?;
        for (at, group) in self.churn.groups.iter().enumerate() {
            checker.within(&format!("churn.groups[{at}]"), *group, 1..=MOST_ENTRIES)?;
        }
        Ok(())
    }
}

/// Axes of one experiment at most: there are no more kinds.
const AXES: usize = 5;
/// Zones at most: each backend names one of them, as short text.
const MOST_ZONES: usize = 1_000;

impl AxisPlan {
    fn check(&self, checker: &Checker, at: usize) -> Result<(), ScaleError> {
        let key = format!("axis[{at}].steps");
        checker.within(&format!("{key} (their number)"), self.steps.len(), STEPS)?;
        let most = match self.of {
            AxisKind::Proxies | AxisKind::Members => MOST_PROXIES,
            AxisKind::Tenants | AxisKind::Routes | AxisKind::Backends => MOST_ENTRIES,
        };
        let mut least = 1;
        for (step, count) in self.steps.iter().enumerate() {
            checker.within(&format!("{key}[{step}]"), *count, least..=most)?;
            least = count + 1;
        }
        Ok(())
    }
}

/// Words faults of one file.
struct Checker<'a> {
    file: &'a str,
}

impl Checker<'_> {
    fn fault(&self, key: &str, expected: &str, got: impl Display) -> ScaleError {
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
        Err(self.fault(key, &expected, got))
    }
}
