//! Framing: the boundaries of messages, and the packets that open a connection ("Message Formats"). Messages are
//! forwarded piece by piece, without being buffered completely.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Maximum length of a start-up packet, bytes (PostgreSQL's MAX_STARTUP_PACKET_LENGTH).
pub const MAX_STARTUP_BYTES: usize = 10_000;
/// Bytes of a message's header: its type and its length field.
pub const HEADER_BYTES: usize = 5;
/// Maximum length of a message's body, bytes (PostgreSQL's limit on an allocation).
pub const MAX_MESSAGE_BYTES: usize = 0x3fff_ffff;

/// Bytes of a length field, which counts itself.
const LENGTH_BYTES: usize = 4;
/// Bytes of a start-up packet's header: its length field and its code.
const STARTUP_HEADER_BYTES: usize = 8;
/// The supported major version of the protocol.
const PROTOCOL_MAJOR: u32 = 3;
/// The code of a CancelRequest.
pub(crate) const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_REQUEST_CODE: u32 = 80_877_104;

/// Why a message or a packet is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The length field is less than its own four bytes, or exceeds the maximum.
    #[error("message {kind:?}: a length of {length} where 4 to {max} is possible")]
    Length {
        /// The message's type; `-` for a packet without one.
        kind: char,
        /// The length field.
        length: u32,
        /// The maximum.
        max: usize,
    },
    /// A start-up packet for another major version of the protocol.
    #[error("protocol {major}.{minor} is not served, 3.0 is")]
    UnsupportedVersion {
        /// The protocol's major version.
        major: u16,
        /// The protocol's minor version.
        minor: u16,
    },
    /// A malformed start-up packet.
    #[error("start-up packet: {0}")]
    Startup(&'static str),
    /// A message that is malformed or unexpected.
    #[error("message {kind:?}: {reason}")]
    Malformed {
        /// The message's type.
        kind: char,
        /// What is wrong with it.
        reason: &'static str,
    },
}

/// The header of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The message's type.
    pub kind: u8,
    /// The length of its body, bytes.
    pub length: usize,
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The message's type.
    pub kind: u8,
    /// The bytes after the header.
    pub body: Bytes,
}

/// Parses the header at the beginning of a buffer; returns `None` if it is not complete yet.
///
/// # Errors
/// Returns an error if the length is invalid.
pub fn header(bytes: &[u8]) -> Result<Option<Header>, WireError> {
    let Some(header) = bytes.get(..HEADER_BYTES) else { return Ok(None) };
    let kind = header[0];
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
    match (length as usize).checked_sub(LENGTH_BYTES).filter(|body| *body <= MAX_MESSAGE_BYTES) {
        Some(body) => Ok(Some(Header { kind, length: body })),
        None => Err(WireError::Length { kind: char::from(kind), length, max: MAX_MESSAGE_BYTES }),
    }
}

/// Takes a message from a buffer; returns `None` if it is not complete yet.
///
/// # Errors
/// Returns an error if the body is longer than `max_body`, or the length is invalid.
pub fn message(buffer: &mut BytesMut, max_body: usize) -> Result<Option<Message>, WireError> {
    let Some(Header { kind, length }) = header(buffer)? else { return Ok(None) };
    if length > max_body {
        let length = (length + LENGTH_BYTES) as u32;
        return Err(WireError::Length { kind: char::from(kind), length, max: max_body });
    }
    if buffer.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    buffer.advance(HEADER_BYTES);
    Ok(Some(Message { kind, body: buffer.split_to(length).freeze() }))
}

/// Appends a message.
pub fn put(out: &mut BytesMut, kind: u8, body: &[u8]) {
    out.reserve(HEADER_BYTES + body.len());
    out.put_u8(kind);
    out.put_u32((body.len() + LENGTH_BYTES) as u32);
    out.put_slice(body);
}

/// The key that identifies a session in a CancelRequest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// The process id of the session, as sent in BackendKeyData.
    pub process_id: i32,
    /// The secret that proves that the request comes from the session's client.
    pub secret: i32,
}

/// A parameter in a start-up packet or a ParameterStatus.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// The parameter's name.
    pub name: String,
    /// The parameter's value.
    pub value: String,
}

/// A packet that opens a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Requests TLS.
    Ssl,
    /// Requests GSSAPI encryption.
    Gss,
    /// Cancels the running statement of another session.
    Cancel(CancelKey),
    /// Starts a session.
    Start {
        /// The minor version of the protocol.
        minor: u16,
        /// The parameters of the session.
        parameters: Vec<Parameter>,
    },
}

/// Takes an opening packet from a buffer; returns `None` if it is not complete yet.
///
/// # Errors
/// Returns an error if the packet cannot open a connection of protocol 3.
pub fn opening(buffer: &mut BytesMut) -> Result<Option<Opening>, WireError> {
    let word = |at: usize| buffer.get(at..at + 4).map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]));
    let Some(length) = word(0) else { return Ok(None) };
    if !(STARTUP_HEADER_BYTES as u32..=MAX_STARTUP_BYTES as u32).contains(&length) {
        return Err(WireError::Length { kind: '-', length, max: MAX_STARTUP_BYTES });
    }
    let Some(code) = word(4).filter(|_| buffer.len() >= length as usize) else { return Ok(None) };
    let mut packet = buffer.split_to(length as usize);
    packet.advance(STARTUP_HEADER_BYTES);
    match (code, packet.len()) {
        (SSL_REQUEST_CODE, 0) => Ok(Some(Opening::Ssl)),
        (GSS_REQUEST_CODE, 0) => Ok(Some(Opening::Gss)),
        (CANCEL_REQUEST_CODE, 8) => {
            let process_id = packet.get_i32();
            Ok(Some(Opening::Cancel(CancelKey { process_id, secret: packet.get_i32() })))
        }
        (CANCEL_REQUEST_CODE | SSL_REQUEST_CODE | GSS_REQUEST_CODE, _) => {
            Err(WireError::Startup("a request of another length"))
        }
        _ => {
            let (major, minor) = ((code >> 16) as u16, code as u16);
            if u32::from(major) != PROTOCOL_MAJOR {
                return Err(WireError::UnsupportedVersion { major, minor });
            }
            Ok(Some(Opening::Start { minor, parameters: parameters(&packet)? }))
        }
    }
}

/// Parses the parameters of a start-up packet.
fn parameters(packet: &[u8]) -> Result<Vec<Parameter>, WireError> {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).map_err(|_| WireError::Startup("no UTF-8"));
    let mut texts = packet.split(|byte| *byte == 0);
    let mut parameters = Vec::new();
    loop {
        let name = texts.next().ok_or(WireError::Startup("no zero byte at its end"))?;
        if name.is_empty() {
            // The zero byte that ends the list must be the last byte of the packet.
            let is_end = texts.next().is_some_and(|rest| rest.is_empty()) && texts.next().is_none();
            return if is_end { Ok(parameters) } else { Err(WireError::Startup("bytes behind its end")) };
        }
        let value = texts.next().ok_or(WireError::Startup("a name without a value"))?;
        parameters.push(Parameter { name: text(name)?, value: text(value)? });
    }
}

/// Forwards messages as their bytes arrive, and reports the beginning of each.
#[derive(Debug, Default)]
pub struct Forwarder {
    /// Bytes of the current message that have not been forwarded yet.
    remaining: usize,
}

impl Forwarder {
    /// Returns whether the last message was forwarded completely.
    pub fn is_at_boundary(&self) -> bool {
        self.remaining == 0
    }

    /// Returns the number of bytes of the current message that are still to be forwarded.
    pub fn remaining(&self) -> usize {
        self.remaining
    }

    /// Continues in the middle of a message whose beginning was handled elsewhere: its last `remaining` bytes are to be
    /// forwarded.
    pub fn continue_message(&mut self, remaining: usize) {
        self.remaining = remaining;
    }

    /// Moves bytes from `from` to `to`. At the beginning of each message `inspect` receives its header and the first
    /// byte of its body, if there is one, and returns whether to forward the message; the first message that it
    /// rejects stays in `from`. Returns the number of bytes moved.
    ///
    /// # Errors
    /// Returns an error if the length of a message is invalid; the messages before it were moved.
    pub fn forward(
        &mut self, from: &mut BytesMut, to: &mut BytesMut,
        mut inspect: impl FnMut(Header, Option<u8>) -> bool,
    ) -> Result<usize, WireError> {
        let mut moved = 0;
        loop {
            if self.remaining > 0 {
                let count = self.remaining.min(from.len());
                to.put_slice(&from[..count]);
                from.advance(count);
                self.remaining -= count;
                moved += count;
                if self.remaining > 0 {
                    return Ok(moved);
                }
            }
            let Some(header) = header(from)? else { return Ok(moved) };
            let first = from.get(HEADER_BYTES).copied().filter(|_| header.length > 0);
            let is_first_byte_missing = header.length > 0 && first.is_none();
            if is_first_byte_missing || !inspect(header, first) {
                return Ok(moved);
            }
            self.remaining = HEADER_BYTES + header.length;
        }
    }
}

#[cfg(test)]
mod tests;
