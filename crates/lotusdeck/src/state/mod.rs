//! The proxy's state on disk (docs/recovery.md): the last endpoint list and the estimates, read once at the start and
//! written by a thread of its own, so that the event loop never waits for a disk. What is in the bytes and how much
//! confidence they deserve is `lotusdeck_state`'s.

mod files;
mod restore;
#[cfg(test)]
mod tests;
mod writer;

pub(crate) use files::StateLocation;
pub(crate) use restore::{restore, InitialState};
pub(crate) use writer::StateWriter;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Whole milliseconds.
fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    to_millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO))
}
