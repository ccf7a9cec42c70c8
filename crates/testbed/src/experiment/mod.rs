//! Experiments of the testbed, as TOML files. docs/testbed.md lists every key.
//!
//! `format` holds the tables and keys, `defaults` their default values, `check` the checks of values, and
//! `error` the reasons why an experiment cannot be run. This module reads experiments and computes values
//! derived from them.

mod check;
mod defaults;
mod error;
mod format;

pub use error::ExperimentError;
pub use format::{
    Class, Clients, DiscoverySpec, Effect, Experiment, Kind, Limits, Load, Phase, Rules, Talk, Trouble,
    TroubleKind,
};

use crate::fault_proxy::script::{Framing, Route, Script, ScriptError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Longest chain of files that extend each other; it ends a loop and is far more than needed.
const MAX_EXTENDED: usize = 8;

/// Returns the script of the relays in front of the backends at these addresses, named `backend-0` and so on.
pub fn relay_script(experiment: &Experiment, backends: impl IntoIterator<Item = SocketAddr>) -> Script {
    let route = |(number, to)| Route {
        name: format!("backend-{number}"),
        listen: ([127, 0, 0, 1], 0).into(),
        to,
        frame: Framing::Http,
        fault: experiment.injury.clone(),
    };
    Script { seed: experiment.seed, route: backends.into_iter().enumerate().map(route).collect() }
}

impl Experiment {
    /// Reads and checks a file. If it names another file of its folder as `extends`, keys that it lacks are
    /// taken from there, recursively. A table or an array of the file replaces the other's as a whole.
    ///
    /// # Errors
    /// Fails if a file cannot be read or is malformed, if a chain is longer than eight files, or with the first
    /// invalid value.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        Experiment::from_table(&path.display().to_string(), Experiment::table(path, MAX_EXTENDED)?)
    }

    /// Reads and checks a table of keys; errors name `name` as its source.
    ///
    /// # Errors
    /// Fails if the table is malformed, or with the first invalid value.
    pub fn from_table(name: &str, table: toml::Table) -> Result<Experiment, ExperimentError> {
        let experiment =
            Experiment::deserialize(table).map_err(|e| ExperimentError::Malformed(name.into(), e))?;
        experiment.checked(name)
    }

    /// Reads a file and the files that it extends, at most `depth` more, so that a loop ends.
    fn table(path: &Path, depth: usize) -> Result<toml::Table, ExperimentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ExperimentError::Unreadable(name.clone(), e))?;
        let mut table: toml::Table = text.parse().map_err(|e| ExperimentError::Malformed(name.clone(), e))?;
        let Some(base) = table.remove("extends") else { return Ok(table) };
        let error = |what| ExperimentError::Value(name.clone(), "extends".into(), what);
        let base = base.as_str().ok_or_else(|| error("the name of a file beside this one"))?;
        let next = depth.checked_sub(1).ok_or_else(|| error("a chain of eight files at most"))?;
        let mut merged = Experiment::table(&path.with_file_name(base), next)?;
        merged.extend(table);
        Ok(merged)
    }

    /// Parses and checks a text; errors name `name` as its source.
    ///
    /// # Errors
    /// Fails if the text is malformed, or with the first invalid value.
    pub fn parse(name: &str, text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment =
            toml::from_str(text).map_err(|e| ExperimentError::Malformed(name.into(), e))?;
        experiment.checked(name)
    }

    /// Returns the experiment if all its values are valid.
    fn checked(self, name: &str) -> Result<Experiment, ExperimentError> {
        let script = relay_script(&self, [([127, 0, 0, 1], 1).into()]);
        script.check(name).map_err(|e| match e {
            ScriptError::Value(at, what) => ScriptError::Value(at.replace("route[0].fault", "injury"), what),
            other => other,
        })?;
        match check::first_fault(&self) {
            None => Ok(self),
            Some(fault) => Err(ExperimentError::Value(name.into(), fault.key, fault.expected)),
        }
    }

    /// Returns the capacity of the whole warm fleet, core-seconds a second.
    pub fn capacity(&self) -> f64 {
        self.kind.iter().map(|kind| kind.count as f64 * kind.cores * kind.speed).sum()
    }

    /// Returns the mean work of an arrival, core-seconds.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.class.iter().map(|class| class.share).sum();
        self.class.iter().map(|class| class.share * class.work_ms / 1e3).sum::<f64>() / shares
    }

    /// Returns the rate of first tries, per second, at `at` seconds from the start.
    pub fn rate(&self, at: f64) -> f64 {
        let rate_of_part = || self.load.part.unwrap_or(0.0) * self.capacity() / self.mean_work();
        let base = self.load.rps.unwrap_or_else(rate_of_part);
        let mut factor = 1.0;
        for phase in self.load.phase.iter().filter(|p| p.at_s <= at) {
            let progress = if phase.over_s > 0.0 { ((at - phase.at_s) / phase.over_s).min(1.0) } else { 1.0 };
            factor += (phase.factor - factor) * progress;
        }
        base * factor
    }
}
