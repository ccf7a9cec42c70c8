//! The server's replies: the client gets those that it expects.

use super::direction::Direction;
use super::pending::{Completion, PendingReply, UnnamedParse};
use super::server_statements::NamedOnServer;
use super::PreparedStatements;
use crate::wire::{header, Header, WireError, HEADER_BYTES};
use bytes::Buf;

impl PreparedStatements {
    /// Forwards the messages received from the server, except the replies that the client does not expect.
    ///
    /// # Errors
    /// Returns an error if the length of a message is invalid.
    pub(crate) fn forward_to_client(&mut self, direction: &mut Direction<'_>) -> Result<(), WireError> {
        loop {
            if !direction.forwarder.is_at_boundary() {
                direction.forward_rest()?;
                if !direction.forwarder.is_at_boundary() {
                    return Ok(());
                }
            }
            let Some(Header { kind, length }) = header(direction.from)? else { return Ok(()) };
            if matches!(kind, b'1' | b'3') && length == 0 && !self.translate_completion(direction, kind) {
                direction.from.advance(HEADER_BYTES);
                continue;
            }
            let Some(first_byte) = direction.forward_next()? else { return Ok(()) };
            direction.tracker.message_received(kind, first_byte);
            match kind {
                b'C' | b'I' | b's' => self.pending.execution_ended(),
                b'G' | b'W' => direction.tracker.copy_in_began(self.pending.begin_copy_in()),
                _ => {}
            }
            // After an error the server ignores everything up to the next Sync.
            if matches!(kind, b'E' | b'Z') {
                self.drop_replies_until_ready(direction);
            }
            if kind == b'Z' {
                self.pending.pop();
            }
        }
    }

    /// Turns a ParseComplete or CloseComplete into the reply that the client expects; returns whether it expects one.
    fn translate_completion(&mut self, direction: &mut Direction<'_>, kind: u8) -> bool {
        self.pending.drop_executed();
        let pending = self.pending.front();
        if let (b'1', Some(PendingReply::Parsed { key, .. })) = (kind, pending) {
            direction.server.named.insert(key, NamedOnServer::Prepared);
        }
        let completion = match (kind, pending) {
            (b'1', Some(PendingReply::Parsed { by_proxy: true, .. })) => Completion::Suppressed,
            (b'1', Some(PendingReply::ParsedUnnamed(UnnamedParse::ByProxy))) => Completion::Suppressed,
            (b'1', _) => Completion::Parsed,
            (_, Some(PendingReply::Closed(completion))) => completion,
            _ => Completion::Closed,
        };
        if !matches!(pending, None | Some(PendingReply::Ready(_))) {
            self.pending.pop();
        }
        match completion {
            Completion::Closed => direction.from[0] = b'3',
            Completion::Parsed => direction.from[0] = b'1',
            Completion::Suppressed => return false,
        }
        true
    }
}
