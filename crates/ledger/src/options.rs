//! How a generation is written, and how long its segments are kept.

use crate::record::Millis;

/// What a record has to survive before its request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The death of the process: the record is written to the kernel.
    Process,
    /// The loss of power: the record is synced to the disk.
    Power,
}

/// What happens to requests while nothing can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnFailure {
    /// They are not sent.
    RejectRequests,
    /// They are sent, and the gap is recorded once writing works again. This applies once the generation has its first
    /// segment: before that nothing on the disk would show that there may be a gap.
    SendUnrecorded,
}

/// How to write.
#[derive(Clone, Debug)]
pub struct Options {
    /// The proxy's name, at most 64 bytes.
    pub proxy: String,
    /// What records have to survive.
    pub mode: Mode,
    /// What happens to requests while nothing can be written.
    pub on_failure: OnFailure,
    /// The size of a segment, reserved when it is created, bytes.
    pub segment_bytes: u64,
    /// Beyond this total size sealed segments are deleted, the oldest first, bytes.
    pub keep_bytes: u64,
    /// From this age on sealed segments are deleted.
    pub keep: Millis,
    /// Segments with an unfinished request are deleted only from this age on.
    pub keep_unresolved: Millis,
}

const DAY: Millis = 24 * 3600 * 1000;

impl Options {
    /// 16 MiB segments, 1 GiB or 90 days in all, 180 days for unfinished requests. A longer name is truncated to 16
    /// characters.
    pub fn new(proxy: &str, mode: Mode, on_failure: OnFailure) -> Options {
        Options {
            proxy: proxy.chars().take(16).collect(),
            mode,
            on_failure,
            segment_bytes: 16 << 20,
            keep_bytes: 1 << 30,
            keep: 90 * DAY,
            keep_unresolved: 180 * DAY,
        }
    }
}
