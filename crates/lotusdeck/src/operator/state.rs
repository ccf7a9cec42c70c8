//! `[state]`: the state that outlives the process (docs/recovery.md).

use std::path::PathBuf;
use std::time::Duration;

/// The section `[state]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StateSection {
    /// The folder of the state files; `None` if nothing is persisted.
    pub folder: Option<PathBuf>,
    /// The site's name, written into the files and checked.
    pub site: String,
    /// The age at which the confidence in saved state is half.
    pub half_life: Duration,
    /// The minimum interval between two writes.
    pub write_interval: Duration,
}

impl Default for StateSection {
    fn default() -> StateSection {
        StateSection {
            folder: None,
            site: String::new(),
            half_life: Duration::from_secs(600),
            write_interval: Duration::from_millis(1_000),
        }
    }
}
