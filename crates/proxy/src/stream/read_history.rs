//! When earlier bytes of a connection were read, which bounds from below when later ones can have been written.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Instant;

/// Bytes that can wait between the peer's write and the read here: its send buffer and the receive buffer, at the
/// sizes to which Linux grows them by default.
const MAX_BYTES_IN_BUFFERS: u64 = 8 * 1024 * 1024;
/// Bytes between two marks.
const MARK_INTERVAL_BYTES: u64 = 512 * 1024;

/// The number of bytes that had been read at a time.
#[derive(Clone, Copy)]
struct Mark {
    total_bytes: u64,
    at: Instant,
}

/// Marks of the last bytes that were read. There are none before `MARK_INTERVAL_BYTES`.
#[derive(Default)]
pub(super) struct ReadHistory {
    /// The newest mark from which on the buffers cannot hold everything, and all newer ones.
    marks: RefCell<VecDeque<Mark>>,
}

impl ReadHistory {
    /// Records that `total_bytes` bytes have been read up to the read at `read_at`.
    pub(super) fn record(&self, read_at: Instant, total_bytes: u64) {
        let mut marks = self.marks.borrow_mut();
        let next_mark = marks.back().map_or(0, |mark| mark.total_bytes) + MARK_INTERVAL_BYTES;
        if total_bytes < next_mark {
            return;
        }
        marks.push_back(Mark { total_bytes, at: read_at });
        while marks.get(1).is_some_and(|mark| is_outside_buffers(*mark, total_bytes)) {
            marks.pop_front();
        }
    }

    /// Returns the time before which no byte from position `total_bytes` on can have been written: the peer's buffer had
    /// no room for it. Returns `None` if the buffers hold all bytes so far.
    pub(super) fn earliest_write(&self, total_bytes: u64) -> Option<Instant> {
        let marks = self.marks.borrow();
        let passed = marks.iter().rev().find(|mark| is_outside_buffers(**mark, total_bytes));
        passed.map(|mark| mark.at)
    }
}

/// Returns whether the buffers cannot hold all bytes from the mark to the one at position `total_bytes`.
fn is_outside_buffers(mark: Mark, total_bytes: u64) -> bool {
    mark.total_bytes + MAX_BYTES_IN_BUFFERS <= total_bytes
}
