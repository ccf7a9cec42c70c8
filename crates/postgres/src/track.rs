//! Where a server connection stands within a transaction, from the messages that pass: when it may serve another client.
//! ("Message Flow": each Query, FunctionCall and Sync is answered by one ReadyForQuery.)

/// Follows both directions of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Track {
    /// ReadyForQuery messages that are still to come.
    owed: u32,
    /// The status in the last one: idle, in a transaction, or in one that has failed.
    status: u8,
    /// Messages of the extended protocol without a Sync behind them.
    unsynced: bool,
    /// The server takes rows; it reads no Sync meanwhile.
    copying: bool,
    /// A statement is out that no CommandComplete or error has answered.
    running: bool,
}

impl Default for Track {
    fn default() -> Track {
        Track { owed: 0, status: b'I', unsynced: false, copying: false, running: false }
    }
}

impl Track {
    /// The client sends a message of that type.
    pub fn sent(&mut self, kind: u8) {
        match kind {
            b'Q' | b'F' => (self.owed, self.running) = (self.owed + 1, true),
            // While rows are taken a Sync is read over; the one behind CopyDone or CopyFail counts.
            b'S' if !self.copying => (self.owed, self.unsynced) = (self.owed + 1, false),
            b'E' => (self.unsynced, self.running) = (true, true),
            b'P' | b'B' | b'D' | b'C' => self.unsynced = true,
            b'c' | b'f' => self.copying = false,
            _ => {}
        }
    }

    /// The server sends a message of that type, with that byte behind its head.
    pub fn came(&mut self, kind: u8, first: Option<u8>) {
        match kind {
            b'Z' => {
                (self.owed, self.status) = (self.owed.saturating_sub(1), first.unwrap_or(b'I'));
                self.running &= self.owed > 0;
                self.copying = false;
            }
            b'G' | b'W' => self.copying = true,
            b'E' => self.copying = false,
            _ => {}
        }
    }

    /// Nothing is under way and no transaction is open: another client's may follow.
    pub fn idle(&self) -> bool {
        self.owed == 0 && !self.unsynced && self.status == b'I'
    }

    /// The server takes rows.
    pub fn copying(&self) -> bool {
        self.copying
    }

    /// A statement may have done its work, or may yet: how it ended is not known.
    pub fn unknown(&self) -> bool {
        self.running
    }

    /// ReadyForQuery messages that the client still waits for.
    pub fn owed(&self) -> u32 {
        self.owed
    }

    /// It has to send a Sync before it is answered.
    pub fn unsynced(&self) -> bool {
        self.unsynced
    }
}

#[cfg(test)]
mod tests;
