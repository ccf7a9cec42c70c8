//! `[ledger]`: the journal of non-idempotent requests.

use std::path::PathBuf;
use std::time::Duration;

/// The section `[ledger]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LedgerSection {
    /// The folder of the journal; `None` if none is kept.
    pub folder: Option<PathBuf>,
    /// Whether records are synced to the disk and survive the loss of power.
    pub survives_power_loss: bool,
    /// Whether requests are sent while nothing can be written.
    pub sends_without_record: bool,
    /// The maximum time that an attempt waits for its record.
    pub record_timeout: Duration,
    /// Size of a segment, MiB.
    pub segment_mb: u64,
    /// Size of all segments beyond which the oldest resolved ones are dropped, MiB.
    pub keep_mb: u64,
    /// Age at which resolved segments are dropped, days.
    pub keep_days: u64,
    /// Age at which unresolved segments are dropped, days.
    pub keep_unresolved_days: u64,
    /// Free space below which a warning is logged, MiB.
    pub warn_free_mb: u64,
}

impl Default for LedgerSection {
    fn default() -> LedgerSection {
        LedgerSection {
            folder: None,
            survives_power_loss: false,
            sends_without_record: false,
            record_timeout: Duration::from_millis(200),
            segment_mb: 16,
            keep_mb: 1024,
            keep_days: 90,
            keep_unresolved_days: 180,
            warn_free_mb: 256,
        }
    }
}
