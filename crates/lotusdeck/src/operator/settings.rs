//! The settings of `[state]` and `[ledger]`, and their defaults. Those of the other sections lie with the modules that
//! use them.

use std::path::PathBuf;
use std::time::Duration;

/// `[state]`: what outlives the process (docs/recovery.md).
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StateSettings {
    /// Where it lies; `None` where nothing is kept.
    pub folder: Option<PathBuf>,
    /// The site's name, written and checked.
    pub site: String,
    /// The age at which a kept list is trusted half as much.
    pub half_life: Duration,
    /// A changed list is written at most this often.
    pub every: Duration,
}

impl Default for StateSettings {
    fn default() -> StateSettings {
        StateSettings {
            folder: None,
            site: String::new(),
            half_life: Duration::from_secs(600),
            every: Duration::from_millis(1_000),
        }
    }
}

/// `[ledger]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LedgerSettings {
    /// Where it lies; `None` where there is none.
    pub folder: Option<PathBuf>,
    /// Records survive the loss of power.
    pub power: bool,
    /// Requests are sent while nothing can be written.
    pub go_on: bool,
    /// An attempt waits so long at most for its record.
    pub wait: Duration,
    /// Room of a segment.
    pub segment_mb: u64,
    /// Space of all segments.
    pub keep_mb: u64,
    /// Age of resolved segments.
    pub keep_days: u64,
    /// Age of the others.
    pub keep_unresolved_days: u64,
    /// Free space below which a line warns.
    pub warn_free_mb: u64,
}

impl Default for LedgerSettings {
    fn default() -> LedgerSettings {
        LedgerSettings {
            folder: None,
            power: false,
            go_on: false,
            wait: Duration::from_millis(200),
            segment_mb: 16,
            keep_mb: 1024,
            keep_days: 90,
            keep_unresolved_days: 180,
            warn_free_mb: 256,
        }
    }
}
