//! The proxy's state on disk (docs/recovery.md): the last endpoint list and the estimates. They are read once at
//! start-up and written by a separate thread, so that the event loop never waits for a disk. `lotusdeck_state` defines
//! the file format and computes the confidence in saved state.

mod files;
mod restore;
#[cfg(test)]
mod tests;
mod writer;

pub(crate) use files::StateLocation;
pub(crate) use restore::{restore, InitialState};
pub(crate) use writer::StateWriter;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Converts a duration to whole milliseconds.
fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    to_millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO))
}
