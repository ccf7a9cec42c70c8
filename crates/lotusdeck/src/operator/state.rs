//! `[state]`: what outlives the process (docs/recovery.md).

use std::path::PathBuf;
use std::time::Duration;

/// `[state]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StateSection {
    /// Where the files lie; `None` where nothing is persisted.
    pub folder: Option<PathBuf>,
    /// The site's name, written into the files and checked.
    pub site: String,
    /// The age at which a saved list has half the confidence.
    pub half_life: Duration,
    /// A changed list is written at most this often.
    pub every: Duration,
}

impl Default for StateSection {
    fn default() -> StateSection {
        StateSection {
            folder: None,
            site: String::new(),
            half_life: Duration::from_secs(600),
            every: Duration::from_millis(1_000),
        }
    }
}
