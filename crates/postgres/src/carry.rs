//! Named prepared statements, carried from server to server: a client's names are its own, a server knows each text once
//! under a name drawn from it, and what a server lacks is parsed there before it is used. Sans-IO: it moves messages
//! from one buffer to another, with those of its own in between, and takes the answers to these out again.

use crate::track::Track;
use crate::wire::{header, message, put, Forwarder, Header, Message, WireError, HEADER_BYTES};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use sha2::{Digest, Sha256};
use std::collections::{HashMap, HashSet, VecDeque};

/// A statement with its types is no longer (bytes).
const MAX_STATEMENT: usize = 1 << 20;
/// All of a session's together.
const MAX_STATEMENTS: usize = 8 << 20;
/// Names of statements and portals are no longer (PostgreSQL cuts its own at 63).
const MAX_NAME: usize = 1024;
/// Answers that may be outstanding in a pipeline.
const MAX_EXPECTED: usize = 100_000;
/// Statements that are left prepared on one connection.
pub(crate) const MAX_PREPARED: usize = 1000;

/// A text with its types, by 192 bits of its SHA-256: clients share what servers have prepared, so that none may be able
/// to make a text that passes for another's.
type Key = [u8; 24];
/// What a server's connection has prepared.
pub(crate) type Prepared = HashSet<Key>;

/// Why a session ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Over {
    /// The client says farewell, or left.
    Left,
    /// A message of an impossible length or form.
    Unreadable,
    /// More or longer statements, or more messages ahead, than one session may have.
    TooMuch,
}

impl From<WireError> for Over {
    fn from(_: WireError) -> Over {
        Over::Unreadable
    }
}

/// An answer that the server owes, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// ParseComplete for a text; the client did not ask where it is our own.
    Parsed { key: Key, own: bool },
    /// ParseComplete of an unnamed statement.
    Unnamed,
    /// CloseComplete, and as what the client is told of it.
    Closed(Told),
    /// ReadyForQuery.
    Ready,
}

/// What a client is told of a CloseComplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// As it is: it asked for that.
    Closed,
    /// ParseComplete: it asked for a text that was there already.
    Parsed,
    /// Nothing: it did not ask.
    Nothing,
}

/// A statement that a client has prepared.
#[derive(Clone)]
struct Statement {
    key: Key,
    /// All of the Parse message behind the name.
    text: Bytes,
    /// It leaves behind what outlives its transaction.
    traces: bool,
}

/// A session's statements, and what the present transaction's server owes.
#[derive(Default)]
pub(crate) struct Carry {
    /// By the client's names.
    own: HashMap<Bytes, Statement>,
    bytes: usize,
    expected: VecDeque<Expected>,
    /// How many of these are of texts.
    unsure: usize,
    /// The connection has state that no other client may meet.
    pub tainted: bool,
}

/// The name of a text at every server: within the 63 bytes that PostgreSQL heeds.
fn name(key: &Key) -> String {
    key.iter().fold("ld_".into(), |name, byte| format!("{name}{byte:02x}"))
}

/// A text that ends with a zero byte, from `at` on: where it ends.
fn ends(bytes: &[u8], at: usize) -> Option<usize> {
    bytes.get(at..)?.iter().position(|b| *b == 0).map(|n| at + n)
}

/// A text that leaves behind what outlives its transaction: settings, listeners, temporary tables, locks, or the
/// loss of what was prepared. Matched by words, so that it is sure rather than sharp.
fn leaves_traces(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text).to_ascii_lowercase();
    let begins = |word: &str| text.split(';').any(|s| s.trim_start().starts_with(word));
    let local = ["set local", "set transaction", "set constraints"];
    ["discard", "deallocate", "listen", "load", "prepare"].iter().any(|w| begins(w))
        || begins("set ") && !local.iter().any(|w| begins(w))
        || ["temp", "advisory", "with hold", "set_config"].iter().any(|w| text.contains(w))
}

impl Carry {
    /// Another transaction, perhaps at another server.
    pub(crate) fn begin(&mut self) {
        self.expected.clear();
        self.unsure = 0;
        self.tainted = false;
    }

    fn expect(&mut self, what: Expected) -> Result<(), Over> {
        self.unsure += usize::from(matches!(what, Expected::Parsed { .. }));
        self.expected.push_back(what);
        if self.expected.len() > MAX_EXPECTED {
            return Err(Over::TooMuch);
        }
        Ok(())
    }

    /// Moves what the client has said on to a server that has prepared those. How many bytes were taken.
    ///
    /// # Errors
    /// Why the session ends; all before it has moved.
    pub(crate) fn up(
        &mut self, forwarder: &mut Forwarder, track: &mut Track, from: &mut BytesMut, to: &mut BytesMut,
        prepared: &mut Prepared,
    ) -> Result<usize, (usize, Over)> {
        let before = from.len();
        loop {
            let step = self.step(forwarder, track, from, to, prepared);
            let taken = before - from.len();
            match step {
                Ok(true) => {}
                Ok(false) => return Ok(taken),
                Err(over) => return Err((taken, over)),
            }
        }
    }

    /// One message, or a part of one; whether there may be more to move.
    fn step(
        &mut self, forwarder: &mut Forwarder, track: &mut Track, from: &mut BytesMut, to: &mut BytesMut,
        prepared: &mut Prepared,
    ) -> Result<bool, Over> {
        if !forwarder.is_at_boundary() {
            forwarder.forward(from, to, |_, _| false)?;
            return Ok(forwarder.is_at_boundary());
        }
        let Some(Header { kind, length }) = header(from)? else { return Ok(false) };
        let there = &from[HEADER_BYTES..from.len().min(HEADER_BYTES + length)];
        match kind {
            b'X' => return Err(Over::Left),
            b'P' if there.first().is_some_and(|b| *b != 0) => {
                if length > MAX_STATEMENT {
                    return Err(Over::TooMuch);
                }
                let Some(Message { mut body, .. }) = message(from, MAX_STATEMENT)? else { return Ok(false) };
                let end = ends(&body, 0).ok_or(Over::Unreadable)?;
                let its = body.split_to(end);
                body.advance(1);
                self.parse(its, body, to, prepared)?;
                track.sent(b'P');
                return Ok(true);
            }
            b'B' => {
                let names = ends(there, 0).and_then(|portal| Some((portal, ends(there, portal + 1)?)));
                let Some((portal, end)) = names else {
                    return if there.len() == length || there.len() > 2 * MAX_NAME {
                        Err(Over::Unreadable)
                    } else {
                        Ok(false)
                    };
                };
                if let Some(its) = self.own.get(&there[portal + 1..end]).cloned() {
                    self.prepare(&its, to, prepared)?;
                    self.tainted |= its.traces;
                    let new = name(&its.key);
                    to.put_u8(b'B');
                    to.put_u32((length + 4 + new.len() - (end - portal - 1)) as u32);
                    to.put_slice(&from[HEADER_BYTES..HEADER_BYTES + portal + 1]);
                    to.put_slice(new.as_bytes());
                    from.advance(HEADER_BYTES + end);
                    forwarder.continue_message(length - end);
                    track.sent(b'B');
                    return Ok(true);
                }
            }
            b'D' if there.first() == Some(&b'S') && length > 2 => {
                if length > MAX_NAME {
                    return Err(Over::Unreadable);
                }
                let Some(Message { body, .. }) = message(from, MAX_NAME)? else { return Ok(false) };
                let its = &body[1..ends(&body, 1).ok_or(Over::Unreadable)?];
                match self.own.get(its).cloned() {
                    Some(its) => {
                        self.prepare(&its, to, prepared)?;
                        put(to, b'D', format!("S{}\0", name(&its.key)).as_bytes());
                    }
                    None => put(to, b'D', &body),
                }
                track.sent(b'D');
                return Ok(true);
            }
            b'C' if there.first() == Some(&b'S') && length > 2 => {
                if length > MAX_NAME {
                    return Err(Over::Unreadable);
                }
                // Others may use the text: to the server goes the client's own name, which it never heard of.
                let Some(Message { body, .. }) = message(from, MAX_NAME)? else { return Ok(false) };
                let its = &body[1..ends(&body, 1).ok_or(Over::Unreadable)?];
                self.bytes -= self.own.remove(its).map_or(0, |old| old.text.len());
                put(to, b'C', &body);
                track.sent(b'C');
                self.expect(Expected::Closed(Told::Closed))?;
                return Ok(true);
            }
            // What is not all there may leave any.
            b'Q' => self.tainted |= there.len() < length || leaves_traces(there),
            b'P' => self.tainted |= there.len() < length || leaves_traces(there.get(1..).unwrap_or_default()),
            _ => {}
        }
        let mut first_one = true;
        let see = |_: Header, _: Option<u8>| std::mem::take(&mut first_one);
        if forwarder.forward(from, to, see)? == 0 {
            return Ok(false);
        }
        let copying = track.is_copying();
        track.sent(kind);
        match kind {
            b'P' => self.expect(Expected::Unnamed)?,
            b'C' => self.expect(Expected::Closed(Told::Closed))?,
            b'Q' | b'F' => self.expect(Expected::Ready)?,
            b'S' if !copying => self.expect(Expected::Ready)?,
            _ => {}
        }
        Ok(true)
    }

    /// The client prepares a text under a name of its own.
    fn parse(
        &mut self, its: Bytes, text: Bytes, to: &mut BytesMut, prepared: &mut Prepared,
    ) -> Result<(), Over> {
        let mut key = Key::default();
        key.copy_from_slice(&Sha256::digest(&text)[..24]);
        let traces = leaves_traces(&text);
        self.bytes += text.len();
        if self.bytes > MAX_STATEMENTS || its.len() > MAX_NAME {
            return Err(Over::TooMuch);
        }
        if self.lacks(&key, to, prepared)? {
            put(to, b'P', &[name(&key).as_bytes(), b"\0", &text].concat());
            self.expect(Expected::Parsed { key, own: false })?;
        } else {
            // It is there. A close of what is not there is answered in the right place, by as many bytes.
            put(to, b'C', b"Sld_none\0");
            self.expect(Expected::Closed(Told::Parsed))?;
        }
        let old = self.own.insert(its, Statement { key, text, traces });
        self.bytes -= old.map_or(0, |old| old.text.len());
        Ok(())
    }

    /// The server has to be told the text. Where an earlier part of the pipeline does so, and may yet fail, it is closed
    /// first, so that it can be told again; inside one part what follows a failure is read over anyway.
    fn lacks(&mut self, key: &Key, to: &mut BytesMut, prepared: &mut Prepared) -> Result<bool, Over> {
        if prepared.insert(*key) {
            return Ok(true);
        }
        if self.unsure == 0 {
            return Ok(false);
        }
        let its = |e: &Expected| matches!(e, Expected::Parsed { key: k, .. } if k == key);
        let told = self.expected.iter().rposition(its);
        let unsure = told.is_some_and(|at| self.expected.iter().skip(at).any(|e| *e == Expected::Ready));
        if unsure {
            put(to, b'C', format!("S{}\0", name(key)).as_bytes());
            self.expect(Expected::Closed(Told::Nothing))?;
        }
        Ok(unsure)
    }

    /// Sees to it that the server has a text before it is used.
    fn prepare(&mut self, its: &Statement, to: &mut BytesMut, prepared: &mut Prepared) -> Result<(), Over> {
        if self.lacks(&its.key, to, prepared)? {
            put(to, b'P', &[name(&its.key).as_bytes(), b"\0", &its.text].concat());
            self.expect(Expected::Parsed { key: its.key, own: true })?;
        }
        Ok(())
    }

    /// The answer that is owed first has come, or will not.
    fn answered(&mut self) {
        let owed = self.expected.pop_front();
        self.unsure -= usize::from(matches!(owed, Some(Expected::Parsed { .. })));
    }

    /// Moves what the server has said on to the client, without the answers that this one did not ask for.
    ///
    /// # Errors
    /// A length that no message can have.
    pub(crate) fn down(
        &mut self, forwarder: &mut Forwarder, track: &mut Track, from: &mut BytesMut, to: &mut BytesMut,
        prepared: &mut Prepared,
    ) -> Result<(), WireError> {
        loop {
            if !forwarder.is_at_boundary() {
                forwarder.forward(from, to, |_, _| false)?;
                if !forwarder.is_at_boundary() {
                    return Ok(());
                }
            }
            let Some(Header { kind, length }) = header(from)? else { return Ok(()) };
            if matches!(kind, b'1' | b'3') && length == 0 {
                let owed = self.expected.front().copied();
                if let (b'1', Some(Expected::Parsed { key, .. })) = (kind, owed) {
                    prepared.insert(key);
                }
                let told = match (kind, owed) {
                    (b'1', Some(Expected::Parsed { own: true, .. })) => Told::Nothing,
                    (b'1', _) => Told::Parsed,
                    (_, Some(Expected::Closed(told))) => told,
                    _ => Told::Closed,
                };
                if !matches!(owed, None | Some(Expected::Ready)) {
                    self.answered();
                }
                match told {
                    Told::Closed => from[0] = b'3',
                    Told::Parsed => from[0] = b'1',
                    Told::Nothing => {
                        from.advance(HEADER_BYTES);
                        continue;
                    }
                }
            }
            let (mut seen, mut first_one) = (None, true);
            let see = |_: Header, first: Option<u8>| {
                let goes = std::mem::take(&mut first_one);
                seen = if goes { first } else { seen };
                goes
            };
            if forwarder.forward(from, to, see)? == 0 {
                return Ok(());
            }
            track.received(kind, seen);
            // Behind an error all is read over to the next Sync: what it kept from being answered is not prepared.
            if matches!(kind, b'E' | b'Z') {
                while let Some(owed) = self.expected.front().filter(|e| **e != Expected::Ready) {
                    if let Expected::Parsed { key, .. } = owed {
                        prepared.remove(key);
                    }
                    self.answered();
                }
            }
            if kind == b'Z' {
                self.answered();
            }
        }
    }
}

#[cfg(test)]
mod tests;
