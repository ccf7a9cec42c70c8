//! The state of a server connection within a transaction, from the messages that pass in both directions: when it may
//! serve another client ("Message Flow": each Query, FunctionCall and Sync is answered by one ReadyForQuery).

/// The transaction status of ReadyForQuery outside a transaction.
const STATUS_IDLE: u8 = b'I';

/// Follows both directions of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Track {
    /// ReadyForQuery messages that are still to come.
    pending_ready: u32,
    /// The status in the last one: idle, in a transaction, or in one that has failed.
    transaction_status: u8,
    /// Messages of the extended protocol without a Sync after them.
    needs_sync: bool,
    /// The server receives rows; it ignores a Sync meanwhile.
    is_copying: bool,
    /// A statement was sent that no ReadyForQuery has completed.
    is_running: bool,
}

impl Default for Track {
    fn default() -> Track {
        Track {
            pending_ready: 0,
            transaction_status: STATUS_IDLE,
            needs_sync: false,
            is_copying: false,
            is_running: false,
        }
    }
}

impl Track {
    /// The client sends a message of that type.
    pub fn sent(&mut self, kind: u8) {
        match kind {
            b'Q' | b'F' => {
                self.pending_ready += 1;
                self.is_running = true;
            }
            // While rows are received a Sync is ignored; the one after CopyDone or CopyFail counts.
            b'S' if !self.is_copying => {
                self.pending_ready += 1;
                self.needs_sync = false;
            }
            b'E' => {
                self.needs_sync = true;
                self.is_running = true;
            }
            b'P' | b'B' | b'D' | b'C' => self.needs_sync = true,
            b'c' | b'f' => self.is_copying = false,
            _ => {}
        }
    }

    /// The server sends a message of that type, whose body begins with that byte.
    pub fn received(&mut self, kind: u8, first: Option<u8>) {
        match kind {
            b'Z' => {
                self.pending_ready = self.pending_ready.saturating_sub(1);
                self.transaction_status = first.unwrap_or(STATUS_IDLE);
                self.is_running &= self.pending_ready > 0;
                self.is_copying = false;
            }
            b'G' | b'W' => self.is_copying = true,
            b'E' => self.is_copying = false,
            _ => {}
        }
    }

    /// Whether nothing is pending and no transaction is open: another client may use the connection.
    pub fn is_idle(&self) -> bool {
        self.pending_ready == 0 && !self.needs_sync && self.transaction_status == STATUS_IDLE
    }

    /// Whether the server receives rows.
    pub fn is_copying(&self) -> bool {
        self.is_copying
    }

    /// Whether the result of a statement is unknown: it may have been executed, or may yet be.
    pub fn is_result_unknown(&self) -> bool {
        self.is_running
    }

    /// ReadyForQuery messages that the client still waits for.
    pub fn pending_ready(&self) -> u32 {
        self.pending_ready
    }

    /// Whether the client has to send a Sync before it is answered.
    pub fn needs_sync(&self) -> bool {
        self.needs_sync
    }
}

#[cfg(test)]
mod tests;
