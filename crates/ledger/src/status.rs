//! The status of a ledger.

use crate::writer::WriteCounts;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The current state of a ledger, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LedgerStatus {
    /// Records that are queued and that the writer has not taken yet.
    #[serde(rename = "depth")]
    pub queued_records: u64,
    /// Records written.
    pub records: u64,
    /// Writes, each of one or more records.
    pub writes: u64,
    /// Syncs of segments.
    pub syncs: u64,
    /// Bytes of frames written to segments.
    pub bytes: u64,
    /// Records that could not be queued or written.
    #[serde(rename = "failed")]
    pub records_lost: u64,
    /// The duration of the last write, µs.
    pub last_write_us: u64,
    /// The free space of the disk, bytes; 0 if it is unknown.
    pub free_bytes: u64,
    /// Whether no segment is open or records were lost since the last successful write.
    #[serde(rename = "failing")]
    pub is_failing: bool,
}

/// The state that the writer's thread shares with the handle.
#[derive(Default)]
pub(crate) struct Gauges {
    pub(crate) queued_records: AtomicU64,
    pub(crate) records: AtomicU64,
    pub(crate) writes: AtomicU64,
    syncs: AtomicU64,
    bytes: AtomicU64,
    pub(crate) records_lost: AtomicU64,
    pub(crate) last_write_us: AtomicU64,
    pub(crate) free_bytes: AtomicU64,
    pub(crate) is_failing: AtomicBool,
    pub(crate) has_segment: AtomicBool,
    /// Records that could not be queued and that the writer has not counted as lost yet.
    pub(crate) rejected_records: AtomicU64,
    /// The names of deleted segments that have not been reported yet.
    deleted: Mutex<Vec<String>>,
}

impl Gauges {
    pub(crate) fn status(&self) -> LedgerStatus {
        LedgerStatus {
            queued_records: self.queued_records.load(Relaxed),
            records: self.records.load(Relaxed),
            writes: self.writes.load(Relaxed),
            syncs: self.syncs.load(Relaxed),
            bytes: self.bytes.load(Relaxed),
            records_lost: self.records_lost.load(Relaxed),
            last_write_us: self.last_write_us.load(Relaxed),
            free_bytes: self.free_bytes.load(Relaxed),
            is_failing: self.is_failing.load(Relaxed),
        }
    }

    pub(crate) fn set_write_counts(&self, counts: WriteCounts) {
        self.syncs.store(counts.syncs, Relaxed);
        self.bytes.store(counts.bytes, Relaxed);
    }

    pub(crate) fn add_deleted(&self, segments: Vec<String>) {
        self.deleted().extend(segments);
    }

    pub(crate) fn take_deleted(&self) -> Vec<String> {
        std::mem::take(&mut *self.deleted())
    }

    /// Locks the names. Ignores poisoning, because a panic elsewhere cannot leave the names inconsistent.
    fn deleted(&self) -> MutexGuard<'_, Vec<String>> {
        self.deleted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
