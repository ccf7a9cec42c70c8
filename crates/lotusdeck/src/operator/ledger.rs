//! `[ledger]`: the journal of requests that must never run twice.

use std::path::PathBuf;
use std::time::Duration;

/// `[ledger]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LedgerSection {
    /// Where it lies; `None` where there is none.
    pub folder: Option<PathBuf>,
    /// Records survive the loss of power.
    pub survives_power_loss: bool,
    /// Requests are sent while nothing can be written.
    pub sends_without_record: bool,
    /// An attempt waits so long at most for its record.
    pub wait: Duration,
    /// Room of a segment, MiB.
    pub segment_mb: u64,
    /// Space of all segments, MiB.
    pub keep_mb: u64,
    /// Age at which resolved segments are dropped, days.
    pub keep_days: u64,
    /// Age at which the others are dropped, days.
    pub keep_unresolved_days: u64,
    /// Free space below which a line warns, MiB.
    pub warn_free_mb: u64,
}

impl Default for LedgerSection {
    fn default() -> LedgerSection {
        LedgerSection {
            folder: None,
            survives_power_loss: false,
            sends_without_record: false,
            wait: Duration::from_millis(200),
            segment_mb: 16,
            keep_mb: 1024,
            keep_days: 90,
            keep_unresolved_days: 180,
            warn_free_mb: 256,
        }
    }
}
