//! The client's messages that name a statement: Parse, Bind, Describe and Close.

use super::direction::Direction;
use super::effects::TextEffects;
use super::key::{StatementKey, SERVER_NAME_PREFIX};
use super::names::{statement_name, text_end};
use super::pending::{Completion, PendingReply};
use super::server_statements::NamedOnServer;
use super::session_end::SessionEnd;
use super::statement::{NamedStatement, StatementText};
use super::{PreparedStatements, UsableStatement, MAX_STATEMENT_BYTES};
use crate::wire::{put, Header, HEADER_BYTES};
use bytes::{Buf, BufMut, Bytes};

/// Maximum length of all named statements of a session together, bytes.
const MAX_SESSION_BYTES: usize = 8 << 20;
/// Maximum length of the name of a statement or a portal, bytes (PostgreSQL truncates names to 63).
const MAX_NAME_BYTES: usize = 1024;
/// The name of a statement that never exists on a server.
const NONEXISTENT_NAME: &[u8] = b"ld_none";
/// The body of a Close for a statement that never exists.
const CLOSE_NONEXISTENT: &[u8] = b"Sld_none\0";

impl PreparedStatements {
    /// Handles the Parse of a named statement: sends the text under its server name, unless it is already prepared.
    pub(super) fn forward_parse(
        &mut self, direction: &mut Direction<'_>, header: Header,
    ) -> Result<bool, SessionEnd> {
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
    pub(super) fn forward_bind(
        &mut self, direction: &mut Direction<'_>, header: Header,
    ) -> Result<bool, SessionEnd> {
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
    pub(super) fn forward_describe(
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
    pub(super) fn forward_close(
        &mut self, direction: &mut Direction<'_>, header: Header,
    ) -> Result<bool, SessionEnd> {
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

    /// Returns the effects of the statement that a Bind names; `None` if its name has not arrived completely.
    pub(super) fn bound_effects(&self, body: &[u8]) -> Option<TextEffects> {
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
