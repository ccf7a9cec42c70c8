//! The earliest time at which the peer can have written bytes that are read later than they arrive.

use super::read_history::ReadHistory;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Bytes that a receive window takes at least. A peer whose bytes were read in a run of fewer had room to send more.
const MIN_WINDOW_BYTES: usize = 32 * 1024;
/// Time after which a peer that has more to send has sent it into an empty receive window.
const REFILL_TIME: Duration = Duration::from_millis(5);

/// A lower bound on when unread bytes were written. They were written after the last time at which none were unread,
/// unless the peer had filled the receive window until then: what it had written besides was still to arrive.
pub(super) struct WriteBound {
    /// The bound as of the last read.
    written_after: Cell<Instant>,
    /// The last time that counted as one without unread bytes, trusted or not.
    seen_empty_at: Cell<Instant>,
    /// Bytes read since then.
    run_bytes: Cell<usize>,
    last_read_at: Cell<Instant>,
    history: ReadHistory,
}

impl WriteBound {
    /// Creates the bound of a connection on which nothing was written before `since`.
    pub(super) fn new(since: Instant) -> WriteBound {
        WriteBound {
            written_after: Cell::new(since),
            seen_empty_at: Cell::new(since),
            run_bytes: Cell::new(0),
            last_read_at: Cell::new(since),
            history: ReadHistory::default(),
        }
    }

    /// Records that the peer had more to write at this time than the buffers could hold.
    pub(super) fn record_unwritten(&self, at: Instant) {
        self.written_after.set(at.max(self.written_after.get()));
    }

    /// Records that `count` bytes were read at `read_at`, `total_bytes` with all before.
    pub(super) fn record_read(&self, read_at: Instant, count: usize, total_bytes: u64) {
        self.run_bytes.set(self.run_bytes.get() + count);
        self.last_read_at.set(read_at);
        self.history.record(read_at, total_bytes);
    }

    /// Returns the earliest time at which unread bytes can have been written, or those that are being read. None were
    /// unread at `empty_at`; `total_bytes` were read before.
    pub(super) fn earliest_write(&self, empty_at: Instant, total_bytes: u64) -> Instant {
        if empty_at > self.seen_empty_at.get() {
            let had_room = self.run_bytes.get() < MIN_WINDOW_BYTES;
            if had_room || empty_at.saturating_duration_since(self.last_read_at.get()) >= REFILL_TIME {
                self.written_after.set(empty_at);
            }
            self.seen_empty_at.set(empty_at);
            self.run_bytes.set(0);
        }
        let written_after = self.written_after.get();
        self.history.earliest_write(total_bytes).map_or(written_after, |at| at.max(written_after))
    }
}

#[cfg(test)]
mod tests;
