//! Prepared statements, which stay valid when a client's transactions run on different server connections, and which no
//! other client can reach. Each client has its own statement names. On a server connection each text of a named
//! statement is prepared once, under a name derived from the text, and before its first use there. Sans-IO: messages
//! move from one buffer to another; the proxy inserts its own, and removes the replies to them.

mod direction;
mod effects;
mod key;
mod names;
mod pending;
mod server_statements;
mod session_end;
mod statement;
mod unnamed;

use crate::track::ConnectionTracker;
use crate::wire::{header, put, Header, WireError, HEADER_BYTES};
use bytes::{Buf, BufMut, Bytes};
use effects::TextEffects;
use key::{StatementKey, SERVER_NAME_PREFIX};
use names::{statement_name, text_end};
use pending::{Completion, PendingReplies, PendingReply, UnnamedParse};
use server_statements::NamedOnServer;
use statement::{NamedStatement, StatementText, UnnamedStatement};
use std::collections::HashMap;

pub(crate) use direction::Direction;
pub(crate) use server_statements::ServerStatements;
pub(crate) use session_end::{Interrupted, SessionEnd};

/// Maximum length of the Parse message of a statement that is kept, without its header, bytes.
const MAX_STATEMENT_BYTES: usize = 1 << 20;
/// Maximum length of all named statements of a session together, bytes.
const MAX_SESSION_BYTES: usize = 8 << 20;
/// Maximum length of the name of a statement or a portal, bytes (PostgreSQL truncates names to 63).
const MAX_NAME_BYTES: usize = 1024;
/// Maximum number of pending replies in a pipeline.
const MAX_PENDING_REPLIES: usize = 100_000;
/// Maximum number of statements prepared on a connection: one with more is closed after its transaction.
pub(crate) const MAX_PREPARED_STATEMENTS: usize = 1000;
/// The name of a statement that never exists on a server.
const NONEXISTENT_NAME: &[u8] = b"ld_none";
/// The body of a Close for a statement that never exists.
const CLOSE_NONEXISTENT: &[u8] = b"Sld_none\0";

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
        let Some(header) = header(direction.from)? else { return Ok(false) };
        let available = &direction.from[HEADER_BYTES..direction.from.len().min(HEADER_BYTES + header.length)];
        let is_complete = available.len() == header.length;
        if available.is_empty() && header.length > 0 {
            return Ok(false); // the first byte of the body tells how to forward the message
        }
        let concerns_statement = available.first() == Some(&b'S');
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
            b'P' => self.push_pending(PendingReply::ParsedUnnamed(UnnamedParse::ByClient))?,
            b'C' => self.push_pending(PendingReply::Closed(Completion::Closed))?,
            b'Q' | b'F' => self.push_pending(PendingReply::Ready)?,
            b'S' if !was_copying => self.push_pending(PendingReply::Ready)?,
            _ => {}
        }
        Ok(true)
    }

    /// Handles the Parse of a named statement: sends the text under its server name, unless it is already prepared.
    fn forward_parse(&mut self, direction: &mut Direction<'_>, header: Header) -> Result<bool, SessionEnd> {
        if header.length > MAX_STATEMENT_BYTES {
            return Err(SessionEnd::LimitExceeded);
        }
        let Some(mut text) = direction.take_message(MAX_STATEMENT_BYTES)? else { return Ok(false) };
        let name_end = text_end(&text, 0).ok_or(SessionEnd::InvalidMessage)?;
        let client_name = text.split_to(name_end);
        text.advance(1);
        let key = StatementKey::of(&text);
        self.total_bytes += text.len();
        if self.total_bytes > MAX_SESSION_BYTES || client_name.len() > MAX_NAME_BYTES {
            return Err(SessionEnd::LimitExceeded);
        }
        self.claim_unnamed(direction)?;
        let statement = NamedStatement { key, text: StatementText::new(text) };
        if !self.parse_where_needed(&statement, false, direction)? {
            // The text is already prepared. A Close without effect is sent instead: its reply is as long as a
            // ParseComplete and takes the place of one.
            put(direction.to, b'C', CLOSE_NONEXISTENT);
            self.push_pending(PendingReply::Closed(Completion::Parsed))?;
        }
        let previous = self.by_name.insert(client_name, statement);
        self.total_bytes -= previous.map_or(0, |previous| previous.text.bytes.len());
        direction.tracker.message_sent(b'P');
        Ok(true)
    }

    /// Forwards a Bind, with the client's statement name replaced by the server's.
    fn forward_bind(&mut self, direction: &mut Direction<'_>, header: Header) -> Result<bool, SessionEnd> {
        let Header { length, .. } = header;
        let available = &direction.from[HEADER_BYTES..direction.from.len().min(HEADER_BYTES + length)];
        let portal_end = text_end(available, 0);
        let name_end = portal_end.and_then(|portal_end| text_end(available, portal_end + 1));
        let (Some(portal_end), Some(name_end)) = (portal_end, name_end) else {
            let is_invalid = available.len() == length || available.len() > 2 * MAX_NAME_BYTES;
            return if is_invalid { Err(SessionEnd::InvalidMessage) } else { Ok(false) };
        };
        let name_start = portal_end + 1;
        let client_name = Bytes::copy_from_slice(&available[name_start..name_end]);
        let usable = self.prepare_for_use(&client_name, direction)?;
        self.note_effects(usable.effects, direction.tracker);
        direction.to.put_u8(b'B');
        direction.to.put_u32((length + 4 + usable.server_name.len() - client_name.len()) as u32);
        direction.to.put_slice(&direction.from[HEADER_BYTES..HEADER_BYTES + name_start]);
        direction.to.put_slice(&usable.server_name);
        direction.from.advance(HEADER_BYTES + name_end);
        direction.forwarder.continue_message(length - name_end);
        direction.tracker.message_sent(b'B');
        Ok(true)
    }

    /// Forwards a Describe of a statement, with the client's name replaced by the server's.
    fn forward_describe(
        &mut self, direction: &mut Direction<'_>, header: Header,
    ) -> Result<bool, SessionEnd> {
        let Some(body) = take_statement_message(direction, header)? else { return Ok(false) };
        let client_name = body.slice_ref(statement_name(&body)?);
        let usable = self.prepare_for_use(&client_name, direction)?;
        put(direction.to, b'D', &[b"S", usable.server_name.as_ref(), b"\0"].concat());
        direction.tracker.message_sent(b'D');
        Ok(true)
    }

    /// Forwards a Close of a statement under the client's name, which the server does not know. The text stays prepared,
    /// as other clients may use it.
    fn forward_close(&mut self, direction: &mut Direction<'_>, header: Header) -> Result<bool, SessionEnd> {
        let Some(body) = take_statement_message(direction, header)? else { return Ok(false) };
        let client_name = statement_name(&body)?;
        self.claim_unnamed(direction)?;
        if client_name.is_empty() {
            self.close_unnamed(direction);
        }
        let removed = self.by_name.remove(client_name);
        self.total_bytes -= removed.map_or(0, |removed| removed.text.bytes.len());
        let server_name = unknown_name(&body.slice_ref(client_name));
        put(direction.to, b'C', &[b"S", server_name.as_ref(), b"\0"].concat());
        direction.tracker.message_sent(b'C');
        self.push_pending(PendingReply::Closed(Completion::Closed))?;
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

    /// Returns the effects of the statement that a Bind names; `None` if its name has not arrived completely.
    fn bound_effects(&self, body: &[u8]) -> Option<TextEffects> {
        let portal_end = text_end(body, 0)?;
        let name_end = text_end(body, portal_end + 1)?;
        let name = &body[portal_end + 1..name_end];
        Some(match self.by_name.get(name) {
            Some(statement) => statement.text.effects,
            None if name.is_empty() => self.unnamed.effects(),
            None => TextEffects::NONE,
        })
    }

    /// Makes a statement of the client usable on the server connection.
    fn prepare_for_use(
        &mut self, client_name: &Bytes, direction: &mut Direction<'_>,
    ) -> Result<UsableStatement, SessionEnd> {
        if client_name.is_empty() {
            return self.prepare_unnamed(direction);
        }
        self.claim_unnamed(direction)?;
        let Some(statement) = self.by_name.get(client_name).cloned() else {
            let server_name = unknown_name(client_name);
            return Ok(UsableStatement { server_name, effects: TextEffects::NONE });
        };
        self.parse_where_needed(&statement, true, direction)?;
        let server_name = Bytes::from(statement.key.server_name());
        Ok(UsableStatement { server_name, effects: statement.text.effects })
    }

    /// Prepares a statement on the server connection if it is not prepared there yet; returns whether a Parse was sent.
    /// Where the text may be prepared, appends a Close first: a Parse of an existing name fails.
    fn parse_where_needed(
        &mut self, statement: &NamedStatement, by_proxy: bool, direction: &mut Direction<'_>,
    ) -> Result<bool, SessionEnd> {
        let key = statement.key;
        let before = direction.server.named.insert(key, NamedOnServer::Prepared);
        // An earlier part of the pipeline that sends the text may still fail.
        if before == Some(NamedOnServer::Prepared) && !self.pending.may_fail_to_prepare(&key) {
            return Ok(false);
        }
        let server_name = key.server_name();
        let follows_close = before.is_some();
        if follows_close {
            put(direction.to, b'C', format!("S{server_name}\0").as_bytes());
            self.push_pending(PendingReply::Closed(Completion::Suppressed))?;
        }
        put(direction.to, b'P', &[server_name.as_bytes(), b"\0", &statement.text.bytes].concat());
        self.push_pending(PendingReply::Parsed { key, by_proxy, follows_close })?;
        Ok(true)
    }

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
        if !matches!(pending, None | Some(PendingReply::Ready)) {
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

/// Returns the name under which a server is asked for a statement that it does not know: the client's own, which the
/// server names in its error, unless that could be the name of a text that clients share.
fn unknown_name(client_name: &Bytes) -> Bytes {
    if client_name.starts_with(SERVER_NAME_PREFIX.as_bytes()) {
        Bytes::from_static(NONEXISTENT_NAME)
    } else {
        client_name.clone()
    }
}

/// Takes a Describe or Close of a named statement; returns `None` if it is not complete yet.
fn take_statement_message(
    direction: &mut Direction<'_>, header: Header,
) -> Result<Option<Bytes>, SessionEnd> {
    if header.length > MAX_NAME_BYTES {
        return Err(SessionEnd::InvalidMessage);
    }
    Ok(direction.take_message(MAX_NAME_BYTES)?)
}

#[cfg(test)]
mod model_tests;
#[cfg(test)]
mod tests;
