//! Framing: where messages begin and end, and what a client may say before its session stands ("Message Formats").
//! Nothing of a body has to be in memory to be passed on.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// A start-up packet may be so long (PostgreSQL's own MAX_STARTUP_PACKET_LENGTH).
pub const MAX_STARTUP: usize = 10_000;
/// A type and a length.
pub const HEAD: usize = 5;
/// No message is longer (PostgreSQL's own bound on an allocation).
pub const MAX_MESSAGE: usize = 0x3fff_ffff;

/// What cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The length word holds less than its own four bytes, or more than the bound.
    #[error("message {0:?}: a length of {1} where 4 to {2} is possible")]
    Length(char, u32, usize),
    /// A start-up packet for another protocol.
    #[error("protocol {0}.{1} is not served, 3.0 is")]
    Version(u16, u16),
    /// A start-up packet that is no list of names and values.
    #[error("start-up packet: {0}")]
    Startup(&'static str),
    /// A message that does not fit its type.
    #[error("message {0:?}: {1}")]
    Malformed(char, &'static str),
}

/// The head of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Its type.
    pub kind: u8,
    /// Bytes behind the head.
    pub length: usize,
}

/// The head that a buffer begins with; `None` while it is not whole.
///
/// # Errors
/// A length that no message can have.
pub fn head(bytes: &[u8]) -> Result<Option<Head>, WireError> {
    let Some(head) = bytes.get(..HEAD) else { return Ok(None) };
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
    match (length as usize).checked_sub(4).filter(|n| *n <= MAX_MESSAGE) {
        Some(length) => Ok(Some(Head { kind: head[0], length })),
        None => Err(WireError::Length(char::from(head[0]), length, MAX_MESSAGE)),
    }
}

/// A whole message of a bounded length; `None` while it is not there.
///
/// # Errors
/// One that is longer than `most`, or has a length that no message can have.
pub fn message(buffer: &mut BytesMut, most: usize) -> Result<Option<(u8, Bytes)>, WireError> {
    let Some(head) = head(buffer)? else { return Ok(None) };
    if head.length > most {
        return Err(WireError::Length(char::from(head.kind), head.length as u32 + 4, most));
    }
    if buffer.len() < HEAD + head.length {
        return Ok(None);
    }
    buffer.advance(HEAD);
    Ok(Some((head.kind, buffer.split_to(head.length).freeze())))
}

/// Appends a message.
pub fn put(out: &mut BytesMut, kind: u8, body: &[u8]) {
    out.reserve(HEAD + body.len());
    out.put_u8(kind);
    out.put_u32(body.len() as u32 + 4);
    out.put_slice(body);
}

/// What a client says first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// May we speak TLS?
    Ssl,
    /// May we speak GSSAPI?
    Gss,
    /// Stop what the session of these figures is doing.
    Cancel(i32, i32),
    /// A session, with the minor version that it speaks and what it asks for.
    Start(u16, Vec<(String, String)>),
}

/// Takes an opening from a buffer; `None` while it is not whole.
///
/// # Errors
/// What cannot be an opening of protocol 3.
pub fn opening(buffer: &mut BytesMut) -> Result<Option<Opening>, WireError> {
    let word = |at: usize| buffer.get(at..at + 4).map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]));
    let Some(length) = word(0) else { return Ok(None) };
    if !(8..=MAX_STARTUP as u32).contains(&length) {
        return Err(WireError::Length('-', length, MAX_STARTUP));
    }
    let (Some(code), true) = (word(4), buffer.len() >= length as usize) else { return Ok(None) };
    let mut packet = buffer.split_to(length as usize);
    packet.advance(8);
    match (code, packet.len()) {
        (80_877_103, 0) => Ok(Some(Opening::Ssl)),
        (80_877_104, 0) => Ok(Some(Opening::Gss)),
        (80_877_102, 8) => Ok(Some(Opening::Cancel(packet.get_i32(), packet.get_i32()))),
        (80_877_102..=80_877_104, _) => Err(WireError::Startup("a request of another length")),
        _ if code >> 16 != 3 => Err(WireError::Version((code >> 16) as u16, code as u16)),
        _ => pairs(&packet).map(|pairs| Some(Opening::Start(code as u16, pairs))),
    }
}

fn pairs(packet: &[u8]) -> Result<Vec<(String, String)>, WireError> {
    let mut texts = packet.split(|b| *b == 0);
    let mut out = Vec::new();
    loop {
        let name = texts.next().ok_or(WireError::Startup("no zero byte at its end"))?;
        if name.is_empty() {
            // The zero behind the last pair, and nothing behind that.
            let over = texts.next().is_some_and(|rest| rest.is_empty()) && texts.next().is_none();
            return if over { Ok(out) } else { Err(WireError::Startup("bytes behind its end")) };
        }
        let value = texts.next().ok_or(WireError::Startup("a name without a value"))?;
        let text =
            |bytes: &[u8]| String::from_utf8(bytes.to_vec()).map_err(|_| WireError::Startup("no UTF-8"));
        out.push((text(name)?, text(value)?));
    }
}

/// Passes messages on as they come, piece by piece, and tells where each begins.
#[derive(Debug, Default)]
pub struct Pieces {
    /// Bytes of the present message that are still to come.
    left: usize,
}

impl Pieces {
    /// Between two messages.
    pub fn at_boundary(&self) -> bool {
        self.left == 0
    }

    /// So many bytes of a message whose beginning went another way are still to come.
    pub fn behind(&mut self, left: usize) {
        self.left = left;
    }

    /// Moves from `from` to `to` what may go: at each message's beginning `see` is told its head and the first byte
    /// behind it, where it has one, and says whether it goes too. How many bytes moved.
    ///
    /// # Errors
    /// A length that no message can have: all before it has moved.
    pub fn pass(
        &mut self, from: &mut BytesMut, to: &mut BytesMut, mut see: impl FnMut(Head, Option<u8>) -> bool,
    ) -> Result<usize, WireError> {
        let mut moved = 0;
        loop {
            if self.left > 0 {
                let count = self.left.min(from.len());
                to.put_slice(&from[..count]);
                from.advance(count);
                (self.left, moved) = (self.left - count, moved + count);
                if self.left > 0 {
                    return Ok(moved);
                }
            }
            let Some(head) = head(from)? else { return Ok(moved) };
            let first = from.get(HEAD).copied().filter(|_| head.length > 0);
            if head.length > 0 && first.is_none() || !see(head, first) {
                return Ok(moved);
            }
            self.left = HEAD + head.length;
        }
    }
}

#[cfg(test)]
mod tests;
