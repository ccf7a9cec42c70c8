//! Experiments: what an operator of the lab writes down, as TOML. docs/testbed.md lists every key.
//!
//! `format` holds the tables and keys, `defaults` what holds where one is absent, `check` which values make sense, and
//! `error` why one is not played. Reading, and figures that follow from the whole, lie here.

mod check;
mod defaults;
mod error;
mod format;

pub use error::ExperimentError;
pub use format::{
    Class, Clients, DiscoverySpec, Effect, Experiment, Kind, Limits, Load, Phase, Rules, Talk, Trouble, What,
};

use crate::fault_proxy::script::{Framing, Route, Script, ScriptError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Files that an experiment extends, one by the other: far more than anyone needs, and a loop of them ends.
const MOST_BASES: usize = 8;

/// The script of the relays before backends that listen there: `backend-0` and so on.
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
    /// Reads and checks a file. Where it names another as `extends`, beside it, what it does not say itself is as
    /// there, and so on down: a table or an array that it has replaces the other's.
    ///
    /// # Errors
    /// A file that cannot be read, a chain of more than eight files, or the first thing that is wrong.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        Experiment::of_table(&path.display().to_string(), Experiment::table(path, MOST_BASES)?)
    }

    /// Reads and checks a table of keys; `name` is where it came from.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn of_table(name: &str, whole: toml::Table) -> Result<Experiment, ExperimentError> {
        let experiment =
            Experiment::deserialize(whole).map_err(|e| ExperimentError::Malformed(name.into(), e))?;
        experiment.checked(name)
    }

    /// A file with all that it extends; `depth` files more at most, so that a loop of them ends.
    fn table(path: &Path, depth: usize) -> Result<toml::Table, ExperimentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ExperimentError::Unreadable(name.clone(), e))?;
        let mut own: toml::Table = text.parse().map_err(|e| ExperimentError::Malformed(name.clone(), e))?;
        let Some(base) = own.remove("extends") else { return Ok(own) };
        let wrong = |what| ExperimentError::Value(name.clone(), "extends".into(), what);
        let base = base.as_str().ok_or_else(|| wrong("the name of a file beside this one"))?;
        let next = depth.checked_sub(1).ok_or_else(|| wrong("a chain of eight files at most"))?;
        let mut whole = Experiment::table(&path.with_file_name(base), next)?;
        whole.extend(own);
        Ok(whole)
    }

    /// Reads and checks a text; `name` is where it came from.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn parse(name: &str, text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment =
            toml::from_str(text).map_err(|e| ExperimentError::Malformed(name.into(), e))?;
        experiment.checked(name)
    }

    /// The experiment, where all its values make sense.
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

    /// Core-seconds a second that the whole fleet can do, warm.
    pub fn capacity(&self) -> f64 {
        self.kind.iter().map(|kind| kind.count as f64 * kind.cores * kind.speed).sum()
    }

    /// Mean work of an arrival, core-seconds.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.class.iter().map(|class| class.share).sum();
        self.class.iter().map(|class| class.share * class.work_ms / 1e3).sum::<f64>() / shares
    }

    /// First tries a second at `at` seconds from the start.
    pub fn rate(&self, at: f64) -> f64 {
        let by_part = || self.load.part.unwrap_or(0.0) * self.capacity() / self.mean_work();
        let base = self.load.rps.unwrap_or_else(by_part);
        let mut factor = 1.0;
        for phase in self.load.phase.iter().filter(|p| p.at_s <= at) {
            let way = if phase.over_s > 0.0 { ((at - phase.at_s) / phase.over_s).min(1.0) } else { 1.0 };
            factor += (phase.factor - factor) * way;
        }
        base * factor
    }
}
