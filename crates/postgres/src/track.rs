//! The state of a server connection, derived from the messages in both directions: whether another client may use it
//! ("Message Flow": each Query, FunctionCall and Sync is answered by one ReadyForQuery).

/// The transaction status in a ReadyForQuery outside a transaction.
const STATUS_IDLE: u8 = b'I';

/// What a statement that begins a COPY from the client changes for the messages that were sent behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CopyInStart {
    /// How many Syncs among them the server ignores, as it is in copy-in mode.
    pub ignored_syncs: u32,
    /// Whether an Execute began the COPY, so that a Sync has to follow.
    pub is_extended: bool,
    /// Whether the server is in copy-in mode after all of them.
    pub is_copying: bool,
}

/// Tracks the state of a connection from the types of its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTracker {
    /// Number of ReadyForQuery messages that the server has yet to send.
    pending_ready: u32,
    /// The status in the last ReadyForQuery: idle, in a transaction, or in a failed transaction.
    transaction_status: u8,
    /// Whether messages of the extended protocol were sent without a Sync after them.
    needs_sync: bool,
    /// Whether the server is in copy-in mode, in which it ignores Sync.
    is_copying: bool,
    /// Whether a statement was sent that no ReadyForQuery has completed.
    is_running: bool,
    /// Whether such a statement may begin a transaction block.
    may_begin_block: bool,
}

impl Default for ConnectionTracker {
    fn default() -> ConnectionTracker {
        ConnectionTracker {
            pending_ready: 0,
            transaction_status: STATUS_IDLE,
            needs_sync: false,
            is_copying: false,
            is_running: false,
            may_begin_block: false,
        }
    }
}

impl ConnectionTracker {
    /// Updates the state for a message of type `kind` from the client.
    pub fn message_sent(&mut self, kind: u8) {
        // CopyDone and CopyFail end copy-in mode, and so do the messages that are errors in it.
        self.is_copying &= matches!(kind, b'd' | b'H' | b'S');
        match kind {
            b'Q' | b'F' => {
                self.pending_ready += 1;
                self.is_running = true;
            }
            // In copy-in mode a Sync is ignored; the one after CopyDone or CopyFail counts.
            b'S' if !self.is_copying => {
                self.pending_ready += 1;
                self.needs_sync = false;
            }
            b'E' => {
                self.needs_sync = true;
                self.is_running = true;
            }
            b'P' | b'B' | b'D' | b'C' => self.needs_sync = true,
            _ => {}
        }
    }

    /// Updates the state for a statement that has begun a COPY from the client, after its CopyInResponse was passed to
    /// [`ConnectionTracker::message_received`]. The Syncs that the server ignores were counted when they were sent.
    pub(crate) fn copy_in_began(&mut self, start: CopyInStart) {
        self.pending_ready = self.pending_ready.saturating_sub(start.ignored_syncs);
        self.needs_sync |= start.is_extended && self.pending_ready == 0;
        self.is_copying = start.is_copying;
    }

    /// Notes that a message was sent that may begin a transaction block.
    pub fn block_may_begin(&mut self) {
        self.may_begin_block = true;
    }

    /// Updates the state for a message of type `kind` from the server, whose body begins with `first_byte`.
    pub fn message_received(&mut self, kind: u8, first_byte: Option<u8>) {
        match kind {
            b'Z' => {
                self.pending_ready = self.pending_ready.saturating_sub(1);
                self.transaction_status = first_byte.unwrap_or(STATUS_IDLE);
                // A part without its Sync may have statements already.
                let is_unanswered = self.pending_ready > 0 || self.needs_sync;
                self.is_running &= is_unanswered;
                self.may_begin_block &= is_unanswered;
                self.is_copying = false;
            }
            b'G' | b'W' => self.is_copying = true,
            b'E' => self.is_copying = false,
            _ => {}
        }
    }

    /// Returns whether nothing is pending and no transaction is open, so that another client may use the connection.
    pub fn is_idle(&self) -> bool {
        self.pending_ready == 0 && !self.needs_sync && self.transaction_status == STATUS_IDLE
    }

    /// Returns whether the server is in copy-in mode.
    pub fn is_copying(&self) -> bool {
        self.is_copying
    }

    /// Returns whether the result of a statement is unknown: it may have been executed, or may still be.
    pub fn is_result_unknown(&self) -> bool {
        self.is_running
    }

    /// Returns whether a transaction block may be open on the server, or in the view of a client that sends ahead of
    /// the answers.
    pub fn may_be_in_block(&self) -> bool {
        self.transaction_status != STATUS_IDLE || self.may_begin_block
    }

    /// Returns the number of ReadyForQuery messages that the client still waits for.
    pub fn pending_ready(&self) -> u32 {
        self.pending_ready
    }

    /// Returns whether the client has yet to send a Sync after messages of the extended protocol.
    pub fn needs_sync(&self) -> bool {
        self.needs_sync
    }
}

#[cfg(test)]
mod tests;
