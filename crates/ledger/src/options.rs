//! Options of a writer: durability, segment size and retention.

use crate::record::Millis;

/// The failure that a record must survive before its request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// A crash of the process: the record has been written to the kernel.
    Process,
    /// A loss of power: the record has been synced to the disk.
    Power,
}

/// The treatment of requests while no record can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnFailure {
    /// Requests are not sent.
    RejectRequests,
    /// Requests are sent, and the gap is recorded once writing works again. Before the generation has its first
    /// segment, requests are not sent, because nothing on the disk would show that there may be a gap.
    SendUnrecorded,
}

/// The options of a [`Writer`](crate::Writer).
#[derive(Clone, Debug)]
pub struct Options {
    /// The proxy's name, at most 64 bytes.
    pub proxy: String,
    /// The failure that records must survive.
    pub mode: Mode,
    /// The treatment of requests while no record can be written.
    pub on_failure: OnFailure,
    /// The size of a segment in bytes, reserved when it is created.
    pub segment_bytes: u64,
    /// The total size in bytes beyond which sealed segments are deleted, the oldest first.
    pub keep_bytes: u64,
    /// The age from which sealed segments are deleted.
    pub keep: Millis,
    /// The age from which segments with an unfinished request are deleted. They are never deleted earlier.
    pub keep_unresolved: Millis,
}

const DAY: Millis = 24 * 3600 * 1000;

impl Options {
    /// Returns options with segments of 16 MiB that are kept up to 1 GiB in total and for 90 days, or for 180 days if
    /// they contain unfinished requests. Truncates the proxy's name to 16 characters.
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
