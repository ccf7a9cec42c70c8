//! The size that the design is for, and the budgets that hold there.

use super::ScaleRunError;
use serde::Deserialize;
use std::path::Path;

/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;

/// A target, as the operators of a fleet state it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Proxies of all regions.
    pub proxies: f64,
    /// Backends of all services.
    pub backends: f64,
    /// Services that the backends belong to.
    pub services: f64,
    /// Routes in the settings of each proxy.
    pub routes: f64,
    /// Tenants in the settings of each proxy.
    pub tenants: f64,
    /// Requests a second of all proxies at the peak.
    pub requests_per_s: f64,
    /// What a proxy may add to a request at the 99th percentile, ms.
    pub added_p99_ms: f64,
    /// Regions.
    pub regions: f64,
    /// Zones of all regions together.
    pub zones: f64,
    /// Changes of the settings a day.
    pub settings_changes_per_day: f64,
    /// A change is in force everywhere so soon, s.
    pub in_force_s: f64,
    /// What a proxy may spend of a core on control.
    pub control_core_share: f64,
    /// What a proxy may hold for control, MB.
    pub control_memory_mb: f64,
    /// What a proxy may receive for control, bytes a second.
    pub control_bytes_per_s: f64,
    /// Machines that are set aside for control.
    pub control_machines: f64,
    /// Machines that fail on an ordinary day.
    pub failures_per_day: f64,
    /// Backends that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
}

impl Target {
    /// Reads a target.
    ///
    /// # Errors
    /// The file cannot be read, lacks a key or has an unknown one.
    pub fn load(path: &Path) -> Result<Target, ScaleRunError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| ScaleRunError::Page(format!("{name}: {error}")))?;
        toml::from_str(&text).map_err(|error| ScaleRunError::Page(format!("{name}: {error}")))
    }

    /// Backends that come or go a day: each restart and each failure is one that goes and one that comes.
    pub fn churn_per_day(&self) -> f64 {
        self.restarts_per_day + self.failures_per_day
    }
}
