//! Prepared statements, which stay valid when a client's transactions run on different server connections, and which no
//! other client can reach. Each client has its own statement names. On a server connection each text of a named
//! statement is prepared once, under a name derived from the text, and before its first use there. Sans-IO: messages
//! move from one buffer to another; the proxy inserts its own, and removes the replies to them.

mod direction;
mod effects;
mod key;
mod named;
mod names;
mod pending;
mod replies;
mod server_statements;
mod session_end;
mod statement;
mod unnamed;

use crate::track::ConnectionTracker;
use crate::wire::{header, Header, HEADER_BYTES};
use bytes::Bytes;
use effects::TextEffects;
use pending::{Completion, PendingReplies, PendingReply, UnnamedParse};
use statement::{NamedStatement, UnnamedStatement};
use std::collections::HashMap;

pub(crate) use direction::Direction;
pub(crate) use server_statements::ServerStatements;
pub(crate) use session_end::{Interrupted, SessionEnd};

/// Maximum length of the Parse message of a statement that is kept, without its header, bytes.
const MAX_STATEMENT_BYTES: usize = 1 << 20;
/// Maximum number of pending replies in a pipeline.
const MAX_PENDING_REPLIES: usize = 100_000;
/// Maximum number of statements prepared on a connection: one with more is closed after its transaction.
pub(crate) const MAX_PREPARED_STATEMENTS: usize = 1000;

/// A statement that a Bind or a Describe can use on a server connection.
struct UsableStatement {
    server_name: Bytes,
    effects: TextEffects,
}

/// A session's prepared statements, and the replies pending in the current transaction.
#[derive(Default)]
pub(crate) struct PreparedStatements {
    /// The statements by the client's names.
    by_name: HashMap<Bytes, NamedStatement>,
    /// The length of the texts of all named statements together.
    total_bytes: usize,
    unnamed: UnnamedStatement,
    /// Whether the unnamed statement on the server connection, if there is one, was prepared by this session.
    owns_unnamed_on_server: bool,
    pending: PendingReplies,
    /// Whether the server connection may have session state that must not be visible to other clients.
    pub(crate) has_session_state: bool,
}

/// Returns whether the next part of a pipeline waits until the parts before it are answered: so many statements are prepared
/// on the server connection that another one should take its place, which it can once nothing is pending on it.
pub(crate) fn awaits_replies(server: &ServerStatements, tracker: &ConnectionTracker) -> bool {
    server.named_count() > MAX_PREPARED_STATEMENTS && tracker.pending_ready() > 0 && !tracker.needs_sync()
}

impl PreparedStatements {
    /// Begins a transaction, which may use another server connection than the one before.
    pub(crate) fn begin_transaction(&mut self) {
        self.begin_transaction_unnamed();
        self.pending.clear();
        self.has_session_state = false;
    }

    /// Adds a pending reply.
    fn push_pending(&mut self, reply: PendingReply) -> Result<(), SessionEnd> {
        self.pending.push(reply);
        self.check_pending_limit()
    }

    /// Returns an error if the client is too far ahead of the server's replies.
    fn check_pending_limit(&self) -> Result<(), SessionEnd> {
        if self.pending.len() > MAX_PENDING_REPLIES {
            return Err(SessionEnd::LimitExceeded);
        }
        Ok(())
    }

    /// Forwards the messages received from the client. Returns the number of bytes taken.
    ///
    /// # Errors
    /// Returns why the session ends; the messages before that were forwarded.
    pub(crate) fn forward_to_server(&mut self, direction: &mut Direction<'_>) -> Result<usize, Interrupted> {
        let available = direction.from.len();
        loop {
            let progress = self.forward_request(direction);
            let taken = available - direction.from.len();
            match progress {
                Ok(true) => {}
                Ok(false) => return Ok(taken),
                Err(reason) => return Err(Interrupted { taken, reason }),
            }
        }
    }

    /// Forwards one message, or part of one; returns whether there may be more to forward.
    fn forward_request(&mut self, direction: &mut Direction<'_>) -> Result<bool, SessionEnd> {
        if !direction.forwarder.is_at_boundary() {
            direction.forward_rest()?;
            return Ok(direction.forwarder.is_at_boundary());
        }
        if awaits_replies(direction.server, direction.tracker) {
            return Ok(false);
        }
        let Some(header) = header(direction.from)? else { return Ok(false) };
        let available = &direction.from[HEADER_BYTES..direction.from.len().min(HEADER_BYTES + header.length)];
        let is_complete = available.len() == header.length;
        if available.is_empty() && header.length > 0 {
            return Ok(false); // the first byte of the body tells how to forward the message
        }
        let concerns_statement = available.first() == Some(&b'S');
        self.pending.note_message(header.kind);
        match header.kind {
            b'X' => return Err(SessionEnd::ClientLeft),
            b'P' if available.first().is_some_and(|byte| *byte != 0) => {
                return self.forward_parse(direction, header);
            }
            b'P' => return self.forward_parse_unnamed(direction, header),
            b'B' => return self.forward_bind(direction, header),
            b'D' if concerns_statement => return self.forward_describe(direction, header),
            b'C' if concerns_statement => return self.forward_close(direction, header),
            // These can fail, upon which the server ignores all messages up to the next Sync.
            b'D' | b'C' | b'E' => self.claim_unnamed(direction)?,
            b'Q' => {
                let effects = if is_complete { TextEffects::of(available) } else { TextEffects::UNKNOWN };
                self.note_effects(effects, direction.tracker);
                self.drop_unnamed(direction);
            }
            _ => {}
        }
        self.forward_unchanged(direction, header.kind)
    }

    /// Forwards a message as it is.
    fn forward_unchanged(&mut self, direction: &mut Direction<'_>, kind: u8) -> Result<bool, SessionEnd> {
        if direction.forward_next()?.is_none() {
            return Ok(false);
        }
        let was_copying = direction.tracker.is_copying();
        direction.tracker.message_sent(kind);
        match kind {
            b'P' => self.pending.push(PendingReply::ParsedUnnamed(UnnamedParse::ByClient)),
            b'C' => self.pending.push(PendingReply::Closed(Completion::Closed)),
            b'E' => self.pending.push_executed(),
            b'Q' | b'F' => self.pending.push_ready_of_statement(),
            b'S' if !was_copying => self.pending.push_ready_of_sync(),
            _ => {}
        }
        self.check_pending_limit()?;
        Ok(true)
    }

    /// Notes the effects of a text that is sent to the server.
    fn note_effects(&mut self, effects: TextEffects, tracker: &mut ConnectionTracker) {
        self.has_session_state |= effects.may_change_session;
        if effects.may_begin_block {
            tracker.block_may_begin();
        }
    }

    /// Returns whether a message that no server gets may begin a transaction block. `body` is as much of its body as
    /// has arrived.
    pub(crate) fn may_begin_block(&self, header: Header, body: &[u8]) -> bool {
        let is_complete = body.len() == header.length;
        match header.kind {
            b'Q' | b'P' => !is_complete || TextEffects::of(body).may_begin_block,
            b'B' => self.bound_effects(body).is_none_or(|effects| effects.may_begin_block),
            _ => false,
        }
    }
}

#[cfg(test)]
mod model_tests;
#[cfg(test)]
mod tests;
