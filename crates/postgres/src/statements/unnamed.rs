//! The unnamed statement. It belongs to the session, but on a server connection there is only one, which the clients of
//! the connection share. A session therefore binds it only after a message that cannot have failed has removed
//! another client's from the connection, and parses its own there again where it is missing.

use super::direction::Direction;
use super::pending::{Completion, PendingReply, UnnamedParse};
use super::server_statements::UnnamedOnServer;
use super::session_end::SessionEnd;
use super::statement::{StatementText, UnnamedStatement};
use super::{PreparedStatements, UsableStatement, MAX_STATEMENT_BYTES};
use crate::wire::{put, Header};
use bytes::Bytes;

/// The body of a Close for the unnamed statement.
const CLOSE_UNNAMED: &[u8] = b"S\0";

impl PreparedStatements {
    /// Begins a transaction. What the transaction before left unanswered was lost with its server connection.
    pub(super) fn begin_transaction_unnamed(&mut self) {
        let is_unanswered = self.pending.last_unnamed_parse() == Some(UnnamedParse::ByClient);
        if is_unanswered || self.unnamed == UnnamedStatement::Streamed {
            self.unnamed = UnnamedStatement::Absent;
        }
        self.owns_unnamed_on_server = false;
    }

    /// Forwards the Parse of the unnamed statement, which replaces the one on the server connection.
    pub(super) fn forward_parse_unnamed(
        &mut self, direction: &mut Direction<'_>, header: Header,
    ) -> Result<bool, SessionEnd> {
        if header.length > MAX_STATEMENT_BYTES {
            self.unnamed = UnnamedStatement::Streamed;
            direction.server.unnamed = UnnamedOnServer::Unknown;
            // A text that is not inspected as a whole is assumed to change the session.
            self.has_session_state = true;
            self.owns_unnamed_on_server = true;
            return self.forward_unchanged(direction, header.kind);
        }
        let Some(body) = direction.take_message(MAX_STATEMENT_BYTES)? else { return Ok(false) };
        put(direction.to, header.kind, &body);
        direction.tracker.message_sent(header.kind);
        self.push_pending(PendingReply::ParsedUnnamed(UnnamedParse::ByClient))?;
        // A copy, as a part of the input buffer would keep all of it allocated.
        let text = StatementText::new(Bytes::copy_from_slice(body.get(1..).unwrap_or_default()));
        self.has_session_state |= text.effects.may_change_session;
        direction.server.unnamed = UnnamedOnServer::Text(text.bytes.clone());
        self.unnamed = UnnamedStatement::Kept(text);
        self.owns_unnamed_on_server = true;
        Ok(true)
    }

    /// Notes a Query, which ends the unnamed statement of the session and of the server connection.
    pub(super) fn drop_unnamed(&mut self, direction: &mut Direction<'_>) {
        self.unnamed = UnnamedStatement::Absent;
        direction.server.unnamed = UnnamedOnServer::Absent;
        self.owns_unnamed_on_server = true;
    }

    /// Notes a Close of the unnamed statement, which the server ignores behind a failed message.
    pub(super) fn close_unnamed(&mut self, direction: &mut Direction<'_>) {
        self.unnamed = UnnamedStatement::Absent;
        direction.server.unnamed = UnnamedOnServer::Unknown;
    }

    /// Closes another client's unnamed statement on the server connection. Called before the first message of a
    /// transaction that can fail: the server ignores a Close behind a failed message.
    pub(super) fn claim_unnamed(&mut self, direction: &mut Direction<'_>) -> Result<(), SessionEnd> {
        if std::mem::replace(&mut self.owns_unnamed_on_server, true) {
            return Ok(());
        }
        let is_absent = direction.server.unnamed == UnnamedOnServer::Absent;
        if is_absent || self.is_unnamed_on_server(&direction.server.unnamed) {
            return Ok(());
        }
        put(direction.to, b'C', CLOSE_UNNAMED);
        direction.server.unnamed = UnnamedOnServer::Absent;
        self.push_pending(PendingReply::Closed(Completion::Suppressed))
    }

    /// Makes the session's unnamed statement usable on the server connection. Without one, the server reports that
    /// there is none.
    pub(super) fn prepare_unnamed(
        &mut self, direction: &mut Direction<'_>,
    ) -> Result<UsableStatement, SessionEnd> {
        let usable = UsableStatement { server_name: Bytes::new(), effects: self.unnamed.effects() };
        let text = match &self.unnamed {
            UnnamedStatement::Absent => {
                self.claim_unnamed(direction)?;
                return Ok(usable);
            }
            UnnamedStatement::Streamed => return Ok(usable),
            UnnamedStatement::Kept(text) => text.clone(),
        };
        let is_prepared = self.is_unnamed_on_server(&direction.server.unnamed);
        if !is_prepared || self.pending.may_fail_to_prepare_unnamed() {
            put(direction.to, b'P', &[b"\0", text.bytes.as_ref()].concat());
            self.push_pending(PendingReply::ParsedUnnamed(UnnamedParse::ByProxy))?;
        }
        direction.server.unnamed = UnnamedOnServer::Text(text.bytes);
        self.owns_unnamed_on_server = true;
        Ok(usable)
    }

    /// Drops the replies that the server does not send after an error. A Parse among them was ignored or has failed:
    /// the session has no unnamed statement then, and the connection may have any of the session's.
    pub(super) fn drop_replies_until_ready(&mut self, direction: &mut Direction<'_>) {
        let Some(last_parse) = self.pending.drop_until_ready(direction.server) else { return };
        direction.server.unnamed = UnnamedOnServer::Unknown;
        if last_parse == UnnamedParse::ByClient {
            self.unnamed = UnnamedStatement::Absent;
        }
    }

    /// Returns whether the session's unnamed statement is the one on the server connection.
    fn is_unnamed_on_server(&self, on_server: &UnnamedOnServer) -> bool {
        match (&self.unnamed, on_server) {
            (UnnamedStatement::Kept(text), UnnamedOnServer::Text(bytes)) => {
                // As a rule both share one allocation, which makes the comparison of a long text unnecessary.
                let is_shared = text.bytes.as_ptr() == bytes.as_ptr() && text.bytes.len() == bytes.len();
                is_shared || text.bytes == *bytes
            }
            _ => false,
        }
    }
}
