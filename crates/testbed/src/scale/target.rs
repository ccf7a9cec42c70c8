//! The size that the system is designed for, and the budgets at that size.

use super::ScaleRunError;
use serde::Deserialize;
use std::path::Path;

/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;

/// A target, as the operators of a fleet state it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Proxies in all regions.
    pub proxies: f64,
    /// Backends of all services.
    pub backends: f64,
    /// Services to which the backends belong.
    pub services: f64,
    /// Routes in the settings of each proxy.
    pub routes: f64,
    /// Tenants in the settings of each proxy.
    pub tenants: f64,
    /// Requests a second over all proxies at peak load.
    pub requests_per_s: f64,
    /// Latency that a proxy may add to a request at the 99th percentile, ms.
    pub added_p99_ms: f64,
    /// Regions.
    pub regions: f64,
    /// Zones in all regions.
    pub zones: f64,
    /// Changes of the settings per day.
    pub settings_changes_per_day: f64,
    /// Time for a change to be in force at all proxies, s.
    pub in_force_s: f64,
    /// Share of a core that a proxy may spend on control.
    pub control_core_share: f64,
    /// Memory that a proxy may use for control, MB.
    pub control_memory_mb: f64,
    /// Bytes a second that a proxy may receive for control.
    pub control_bytes_per_s: f64,
    /// Machines reserved for control.
    pub control_machines: f64,
    /// Machines that fail on a normal day.
    pub failures_per_day: f64,
    /// Backends that are restarted or replaced on a normal day.
    pub restarts_per_day: f64,
}

impl Target {
    /// Reads a target.
    ///
    /// # Errors
    /// Fails if the file cannot be read, lacks a key or has an unknown one.
    pub fn load(path: &Path) -> Result<Target, ScaleRunError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| ScaleRunError::Page(format!("{name}: {error}")))?;
        toml::from_str(&text).map_err(|error| ScaleRunError::Page(format!("{name}: {error}")))
    }

    /// Returns the number of backends replaced per day: by each restart and each failure one backend leaves and
    /// one joins.
    pub fn churn_per_day(&self) -> f64 {
        self.restarts_per_day + self.failures_per_day
    }
}
