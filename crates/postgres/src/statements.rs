//! Named prepared statements, which follow a client from server to server: a client's names are its own, a server has
//! each text once under a name derived from it, and a text that a server lacks is parsed there before it is used.
//! Sans-IO: messages are moved from one buffer to another, with those of the proxy in between, and the replies to these
//! are removed again.

mod direction;
mod key;
mod names;
mod pending;
mod session_end;

use crate::wire::{header, put, Header, WireError, HEADER_BYTES};
use bytes::{Buf, BufMut, Bytes};
use key::{leaves_traces, StatementKey};
use names::{statement_name, text_end};
use pending::{Completion, PendingReplies, PendingReply};
use std::collections::HashMap;

pub(crate) use direction::Direction;
pub(crate) use key::Prepared;
pub(crate) use session_end::{Interrupted, SessionEnd};

/// The longest statement with its types, bytes.
const MAX_STATEMENT_BYTES: usize = 1 << 20;
/// All statements of a session together, bytes.
const MAX_SESSION_BYTES: usize = 8 << 20;
/// The longest name of a statement or a portal, bytes (PostgreSQL cuts its own at 63).
const MAX_NAME_BYTES: usize = 1024;
/// Replies that may be outstanding in a pipeline.
const MAX_PENDING_REPLIES: usize = 100_000;
/// Statements that stay prepared on one connection.
pub(crate) const MAX_PREPARED: usize = 1000;
/// The content of a Close whose statement never exists.
const CLOSE_NONEXISTENT: &[u8] = b"Sld_none\0";

/// A statement that a client has prepared.
#[derive(Clone)]
struct Statement {
    key: StatementKey,
    /// The content of its Parse message after the name.
    text: Bytes,
    leaves_traces: bool,
}

/// A session's prepared statements, and the replies pending at the server of the present transaction.
#[derive(Default)]
pub(crate) struct PreparedStatements {
    /// By the client's names.
    by_name: HashMap<Bytes, Statement>,
    /// Of all texts.
    bytes: usize,
    pending: PendingReplies,
    /// Whether the server connection has state that no other client may see.
    pub(crate) is_tainted: bool,
}

impl PreparedStatements {
    /// Begins another transaction, which may be at another server.
    pub(crate) fn begin_transaction(&mut self) {
        self.pending.clear();
        self.is_tainted = false;
    }

    fn expect(&mut self, reply: PendingReply) -> Result<(), SessionEnd> {
        self.pending.push(reply);
        if self.pending.len() > MAX_PENDING_REPLIES {
            return Err(SessionEnd::LimitExceeded);
        }
        Ok(())
    }

    /// Forwards what the client has sent. Returns how many of its bytes were taken.
    ///
    /// # Errors
    /// Why the session ends; everything before it was forwarded.
    pub(crate) fn forward_to_server(&mut self, link: &mut Direction<'_>) -> Result<usize, Interrupted> {
        let available = link.from.len();
        loop {
            let progress = self.forward_request(link);
            let taken = available - link.from.len();
            match progress {
                Ok(true) => {}
                Ok(false) => return Ok(taken),
                Err(reason) => return Err(Interrupted { taken, reason }),
            }
        }
    }

    /// Forwards one message, or a part of one; returns whether there may be more to forward.
    fn forward_request(&mut self, link: &mut Direction<'_>) -> Result<bool, SessionEnd> {
        if !link.forwarder.is_at_boundary() {
            link.forward_rest()?;
            return Ok(link.forwarder.is_at_boundary());
        }
        let Some(header) = header(link.from)? else { return Ok(false) };
        let available = &link.from[HEADER_BYTES..link.from.len().min(HEADER_BYTES + header.length)];
        let is_complete = available.len() == header.length;
        let names_statement = available.first() == Some(&b'S') && header.length > 2;
        match header.kind {
            b'X' => return Err(SessionEnd::ClientLeft),
            b'P' if available.first().is_some_and(|byte| *byte != 0) => {
                return self.forward_parse(link, header);
            }
            b'B' => return self.forward_bind(link, header),
            b'D' if names_statement => return self.forward_describe(link, header),
            b'C' if names_statement => return self.forward_close(link, header),
            // A text that is not there completely may leave any traces.
            b'Q' => self.is_tainted |= !is_complete || leaves_traces(available),
            b'P' => self.is_tainted |= !is_complete || leaves_traces(available.get(1..).unwrap_or_default()),
            _ => {}
        }
        self.forward_unchanged(link, header.kind)
    }

    fn forward_unchanged(&mut self, link: &mut Direction<'_>, kind: u8) -> Result<bool, SessionEnd> {
        if link.forward_next()?.is_none() {
            return Ok(false);
        }
        let was_copying = link.track.is_copying();
        link.track.sent(kind);
        match kind {
            b'P' => self.expect(PendingReply::ParsedUnnamed)?,
            b'C' => self.expect(PendingReply::Closed(Completion::Closed))?,
            b'Q' | b'F' => self.expect(PendingReply::Ready)?,
            b'S' if !was_copying => self.expect(PendingReply::Ready)?,
            _ => {}
        }
        Ok(true)
    }

    /// The client prepares a text under a name of its own.
    fn forward_parse(&mut self, link: &mut Direction<'_>, header: Header) -> Result<bool, SessionEnd> {
        if header.length > MAX_STATEMENT_BYTES {
            return Err(SessionEnd::LimitExceeded);
        }
        let Some(mut text) = link.take_message(MAX_STATEMENT_BYTES)? else { return Ok(false) };
        let name_end = text_end(&text, 0).ok_or(SessionEnd::InvalidMessage)?;
        let client_name = text.split_to(name_end);
        text.advance(1);
        let key = StatementKey::of(&text);
        let leaves_traces = leaves_traces(&text);
        self.bytes += text.len();
        if self.bytes > MAX_SESSION_BYTES || client_name.len() > MAX_NAME_BYTES {
            return Err(SessionEnd::LimitExceeded);
        }
        if self.needs_parse(&key, link)? {
            put(link.to, b'P', &[key.server_name().as_bytes(), b"\0", &text].concat());
            self.expect(PendingReply::Parsed { key, by_proxy: false })?;
        } else {
            // The text is prepared already: a Close without effect gets its reply, of as many bytes, in the right place.
            put(link.to, b'C', CLOSE_NONEXISTENT);
            self.expect(PendingReply::Closed(Completion::Parsed))?;
        }
        let previous = self.by_name.insert(client_name, Statement { key, text, leaves_traces });
        self.bytes -= previous.map_or(0, |previous| previous.text.len());
        link.track.sent(b'P');
        Ok(true)
    }

    /// The client binds a statement to a portal: the server's name takes the place of the client's.
    fn forward_bind(&mut self, link: &mut Direction<'_>, header: Header) -> Result<bool, SessionEnd> {
        let Header { kind, length } = header;
        let available = &link.from[HEADER_BYTES..link.from.len().min(HEADER_BYTES + length)];
        let portal_end = text_end(available, 0);
        let name_end = portal_end.and_then(|portal_end| text_end(available, portal_end + 1));
        let (Some(portal_end), Some(name_end)) = (portal_end, name_end) else {
            let is_invalid = available.len() == length || available.len() > 2 * MAX_NAME_BYTES;
            return if is_invalid { Err(SessionEnd::InvalidMessage) } else { Ok(false) };
        };
        let name_start = portal_end + 1;
        let Some(statement) = self.by_name.get(&available[name_start..name_end]).cloned() else {
            return self.forward_unchanged(link, kind);
        };
        self.ensure_prepared(&statement, link)?;
        self.is_tainted |= statement.leaves_traces;
        let server_name = statement.key.server_name();
        link.to.put_u8(b'B');
        link.to.put_u32((length + 4 + server_name.len() - (name_end - name_start)) as u32);
        link.to.put_slice(&link.from[HEADER_BYTES..HEADER_BYTES + name_start]);
        link.to.put_slice(server_name.as_bytes());
        link.from.advance(HEADER_BYTES + name_end);
        link.forwarder.continue_message(length - name_end);
        link.track.sent(b'B');
        Ok(true)
    }

    fn forward_describe(&mut self, link: &mut Direction<'_>, header: Header) -> Result<bool, SessionEnd> {
        let Some(body) = take_named(link, header)? else { return Ok(false) };
        match self.by_name.get(statement_name(&body)?).cloned() {
            Some(statement) => {
                self.ensure_prepared(&statement, link)?;
                put(link.to, b'D', format!("S{}\0", statement.key.server_name()).as_bytes());
            }
            None => put(link.to, b'D', &body),
        }
        link.track.sent(b'D');
        Ok(true)
    }

    /// Other clients may use the text: the server gets the client's own name, which it does not know.
    fn forward_close(&mut self, link: &mut Direction<'_>, header: Header) -> Result<bool, SessionEnd> {
        let Some(body) = take_named(link, header)? else { return Ok(false) };
        let removed = self.by_name.remove(statement_name(&body)?);
        self.bytes -= removed.map_or(0, |removed| removed.text.len());
        put(link.to, b'C', &body);
        link.track.sent(b'C');
        self.expect(PendingReply::Closed(Completion::Closed))?;
        Ok(true)
    }

    /// Whether the server has to get the text. Where an earlier part of the pipeline sends it, and may yet fail, the
    /// statement is closed first, so that it can be sent again.
    fn needs_parse(&mut self, key: &StatementKey, link: &mut Direction<'_>) -> Result<bool, SessionEnd> {
        if link.prepared.insert(*key) {
            return Ok(true);
        }
        if !self.pending.may_fail_to_prepare(key) {
            return Ok(false);
        }
        put(link.to, b'C', format!("S{}\0", key.server_name()).as_bytes());
        self.expect(PendingReply::Closed(Completion::Suppressed))?;
        Ok(true)
    }

    /// Prepares a statement at the server before it is used, where the server lacks it.
    fn ensure_prepared(&mut self, statement: &Statement, link: &mut Direction<'_>) -> Result<(), SessionEnd> {
        let key = statement.key;
        if self.needs_parse(&key, link)? {
            put(link.to, b'P', &[key.server_name().as_bytes(), b"\0", &statement.text].concat());
            self.expect(PendingReply::Parsed { key, by_proxy: true })?;
        }
        Ok(())
    }

    /// Forwards what the server has sent, without the replies that the client does not expect.
    ///
    /// # Errors
    /// A length that no message can have.
    pub(crate) fn forward_to_client(&mut self, link: &mut Direction<'_>) -> Result<(), WireError> {
        loop {
            if !link.forwarder.is_at_boundary() {
                link.forward_rest()?;
                if !link.forwarder.is_at_boundary() {
                    return Ok(());
                }
            }
            let Some(Header { kind, length }) = header(link.from)? else { return Ok(()) };
            if matches!(kind, b'1' | b'3') && length == 0 && !self.translate_completion(link, kind) {
                link.from.advance(HEADER_BYTES);
                continue;
            }
            let Some(first_byte) = link.forward_next()? else { return Ok(()) };
            link.track.received(kind, first_byte);
            // After an error the server ignores everything up to the next Sync.
            if matches!(kind, b'E' | b'Z') {
                self.pending.drop_until_ready(link.prepared);
            }
            if kind == b'Z' {
                self.pending.pop();
            }
        }
    }

    /// Turns a ParseComplete or CloseComplete into the reply that the client expects; returns whether it expects one.
    fn translate_completion(&mut self, link: &mut Direction<'_>, kind: u8) -> bool {
        let pending = self.pending.front();
        if let (b'1', Some(PendingReply::Parsed { key, .. })) = (kind, pending) {
            link.prepared.insert(key);
        }
        let completion = match (kind, pending) {
            (b'1', Some(PendingReply::Parsed { by_proxy: true, .. })) => Completion::Suppressed,
            (b'1', _) => Completion::Parsed,
            (_, Some(PendingReply::Closed(completion))) => completion,
            _ => Completion::Closed,
        };
        if !matches!(pending, None | Some(PendingReply::Ready)) {
            self.pending.pop();
        }
        match completion {
            Completion::Closed => link.from[0] = b'3',
            Completion::Parsed => link.from[0] = b'1',
            Completion::Suppressed => return false,
        }
        true
    }
}

/// Takes a Describe or Close of a named statement; `None` while it is not there.
fn take_named(link: &mut Direction<'_>, header: Header) -> Result<Option<Bytes>, SessionEnd> {
    if header.length > MAX_NAME_BYTES {
        return Err(SessionEnd::InvalidMessage);
    }
    Ok(link.take_message(MAX_NAME_BYTES)?)
}

#[cfg(test)]
mod tests;
