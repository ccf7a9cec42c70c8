//! The status of the configuration source that operators see.

use lotusdeck_configuration::{SyncState, Version};
use lotusdeck_proxy::admin::ConfigurationStatus;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// The latest report of the thread; `None` if no source is followed.
#[derive(Default)]
pub(crate) struct SourceStatus(Mutex<Option<SourceReport>>);

/// A report of the thread on the source.
#[derive(Clone, Copy)]
pub(super) struct SourceReport {
    /// The address of the source.
    pub source: SocketAddr,
    /// The version in force.
    pub applied_version: Option<Version>,
    /// Whether this proxy is in sync with the source.
    pub sync_state: SyncState,
    /// When the last poll was sent whose answer confirmed the applied version as the latest.
    pub current_at: Option<Instant>,
}

impl SourceStatus {
    /// Replaces the report; `None` if no source is followed.
    pub(super) fn set(&self, report: Option<SourceReport>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = report;
    }

    /// Returns the status for operators, or `None` if no source is followed.
    pub(crate) fn current(&self) -> Option<ConfigurationStatus> {
        let report = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let SourceReport { source, applied_version, sync_state, current_at } = report?;
        let millis_since = |at: Instant| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let rejected_version = match sync_state {
            SyncState::Rejecting(version) => Some(version),
            SyncState::Empty | SyncState::Current | SyncState::Disconnected => None,
        };
        Some(ConfigurationStatus {
            source: source.to_string(),
            version: applied_version.map(|version| version.to_string()),
            state: sync_state_name(sync_state),
            rejected_version: rejected_version.map(|version| version.to_string()),
            age_ms: current_at.map(millis_since),
        })
    }
}

/// Returns the state's name in `admin status`.
fn sync_state_name(state: SyncState) -> &'static str {
    match state {
        SyncState::Empty => "empty",
        SyncState::Current => "current",
        SyncState::Rejecting(_) => "refusing",
        SyncState::Disconnected => "cut off",
    }
}
