//! Finds the places of messages in the bytes of one direction. Sans-IO, and independent of how the bytes are
//! split: each place is reported at the latest when the bytes before it have arrived. After bytes that it
//! cannot parse, it reports no more places.

use super::script::{Direction, Framing, Place};

/// Longest head, bytes; a longer one is not parsed.
const MAX_HEAD: usize = 64 * 1024;
/// Codes of SSLRequest and GSSENCRequest, which are followed by another start-up message.
const ENCRYPTION_REQUEST_CODES: [u32; 2] = [80_877_103, 80_877_104];

/// A place in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Bytes before the place, which may be more than have arrived.
    pub at: u64,
    /// Number of the message, from 1. An HTTP answer of status 1xx has the number of the one that it precedes.
    pub message: u64,
    /// Place in the message.
    pub place: Place,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Between messages.
    Ready,
    /// Inside an HTTP head.
    Head,
    /// Inside a body, of which this number of bytes remain.
    Body(u64),
    /// Inside the line with a chunk's size.
    Size,
    /// Inside a chunk's data and its line end, of which this number of bytes remain.
    Data(u64),
    /// Inside the trailer lines after the last chunk.
    Trailers,
    /// Inside the type and length of a PostgreSQL message.
    Length,
    /// In a body that lasts to the end of the connection, or in bytes that cannot be parsed.
    Unframed,
}

/// Parses one direction.
pub struct Framer {
    framing: Framing,
    direction: Direction,
    state: State,
    at: u64,
    message: u64,
    /// The incomplete line, or type and length.
    buffer: Vec<u8>,
    /// Bytes of the current head.
    head_bytes: usize,
    /// The status of an HTTP answer, or 0 for a request, once the first line was read.
    status: Option<u16>,
    /// The declared length of an HTTP body.
    length: Option<u64>,
    /// Whether an HTTP body is chunked.
    chunked: bool,
    /// Whether a PostgreSQL message without a type may still arrive.
    untyped: bool,
}

impl Framer {
    /// Creates a framer that starts at the first byte of a connection.
    pub fn new(framing: Framing, direction: Direction) -> Framer {
        Framer {
            framing,
            direction,
            state: if framing == Framing::None { State::Unframed } else { State::Ready },
            at: 0,
            message: 0,
            buffer: Vec::new(),
            head_bytes: 0,
            status: None,
            length: None,
            chunked: false,
            untyped: true,
        }
    }

    /// Parses the next bytes, and adds the places that they reach or announce to `marks`.
    pub fn feed(&mut self, mut bytes: &[u8], marks: &mut Vec<Mark>) {
        while !bytes.is_empty() && self.state != State::Unframed {
            let used = match self.state {
                State::Ready => {
                    self.message += 1;
                    self.mark(0, Place::Start, marks);
                    self.buffer.clear();
                    (self.head_bytes, self.status, self.length, self.chunked) = (0, None, None, false);
                    self.state = if self.framing == Framing::Http { State::Head } else { State::Length };
                    0
                }
                State::Head | State::Size | State::Trailers => self.line(bytes, marks),
                State::Length => self.length(bytes, marks),
                State::Body(left) | State::Data(left) => {
                    let used = left.min(bytes.len() as u64);
                    self.at += used;
                    match (self.state, left - used) {
                        (State::Body(_), 0) => self.end(marks),
                        (State::Body(_), left) => self.state = State::Body(left),
                        (_, 0) => self.chunk(marks),
                        (_, left) => self.state = State::Data(left),
                    }
                    used as usize
                }
                State::Unframed => bytes.len(),
            };
            bytes = &bytes[used..];
        }
    }

    fn mark(&self, ahead: u64, place: Place, marks: &mut Vec<Mark>) {
        marks.push(Mark { at: self.at + ahead, message: self.message, place });
    }

    fn end(&mut self, marks: &mut Vec<Mark>) {
        self.mark(0, Place::End, marks);
        self.state = State::Ready;
    }

    fn chunk(&mut self, marks: &mut Vec<Mark>) {
        self.mark(0, Place::Chunk, marks);
        self.buffer.clear();
        self.state = State::Size;
    }

    /// Starts a body of the given length.
    fn body(&mut self, length: u64, marks: &mut Vec<Mark>) {
        self.mark(0, Place::Body, marks);
        if length > 0 {
            self.mark(length / 2, Place::Middle, marks);
            self.state = State::Body(length);
        } else {
            self.end(marks);
        }
    }

    /// Parses up to the end of a line, and returns the number of bytes used.
    fn line(&mut self, bytes: &[u8], marks: &mut Vec<Mark>) -> usize {
        let end = bytes.iter().position(|b| *b == b'\n');
        let used = end.map_or(bytes.len(), |end| end + 1);
        self.head_bytes += used;
        if self.head_bytes > MAX_HEAD {
            self.state = State::Unframed;
            return used;
        }
        self.at += used as u64;
        self.buffer.extend_from_slice(&bytes[..used]);
        if end.is_some() {
            let line = std::mem::take(&mut self.buffer);
            match (self.state, line.trim_ascii()) {
                (State::Trailers, b"") => self.end(marks),
                (State::Trailers, _) => {}
                (State::Size, size) => self.size(size),
                (_, b"") => self.head_ends(marks),
                (_, field) => self.field(field),
            }
        }
        used
    }

    fn size(&mut self, line: &[u8]) {
        self.head_bytes = 0; // the limit applies to a head or one line, not to all chunk sizes together
        let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
        self.state = match size {
            Some(0) => State::Trailers,
            Some(size) if size < 1 << 60 => State::Data(size + 2),
            _ => State::Unframed,
        };
    }

    fn field(&mut self, line: &[u8]) {
        let text = String::from_utf8_lossy(line);
        if self.status.is_none() {
            let code =
                text.strip_prefix("HTTP/1.").and_then(|rest| rest.split_whitespace().nth(1)?.parse().ok());
            let matches_direction = code.is_some() == (self.direction == Direction::Down);
            (self.status, self.state) =
                (Some(code.unwrap_or(0)), if matches_direction { State::Head } else { State::Unframed });
        } else if let Some((name, value)) = text.split_once(':') {
            let value = value.trim();
            if name.eq_ignore_ascii_case("content-length") {
                self.length = value.parse().ok();
            }
            self.chunked |=
                name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked");
        }
    }

    fn head_ends(&mut self, marks: &mut Vec<Mark>) {
        let Some(status) = self.status else {
            self.state = State::Head; // empty lines before a message are skipped (RFC 9112, 2.2)
            return;
        };
        let no_body =
            matches!(status, 100..=199 | 204 | 304) || self.direction == Direction::Up && !self.chunked;
        if matches!(status, 100..=199) {
            self.message -= 1;
            self.state = State::Ready;
        } else if self.chunked {
            self.mark(0, Place::Body, marks);
            self.chunk(marks);
        } else if let Some(length) = self.length.or(no_body.then_some(0)) {
            self.body(length, marks);
        } else {
            self.mark(0, Place::Body, marks);
            self.state = State::Unframed; // to the connection's end
        }
    }

    /// Parses type and length of a PostgreSQL message as far as they have arrived, and returns the number of
    /// bytes used.
    fn length(&mut self, bytes: &[u8], marks: &mut Vec<Mark>) -> usize {
        // A server answers a request for encryption with a single byte.
        let first = self.buffer.first().copied().unwrap_or(bytes[0]);
        if self.untyped && self.direction == Direction::Down {
            if matches!(first, b'N' | b'S') {
                self.at += 1;
                self.end(marks);
                return 1;
            }
            self.untyped = false;
        }
        let typed = usize::from(!self.untyped);
        // A client that asks for encryption, as shown by the code, sends another untyped message afterwards.
        let header_len = 4 + typed;
        let used = (header_len - self.buffer.len()).min(bytes.len());
        self.buffer.extend_from_slice(&bytes[..used]);
        self.at += used as u64;
        if self.buffer.len() == header_len {
            let length = self.buffer[typed..].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
            if !(4..=1 << 30).contains(&length) {
                self.state = State::Unframed;
                return used;
            }
            let code = bytes.get(used..used + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
            // If the code has not arrived yet, an untyped message of eight bytes is taken for a request for
            // encryption: the only other one of that length would name no user, and no server accepts it.
            let requests_encryption =
                length == 8 && code.is_none_or(|c| ENCRYPTION_REQUEST_CODES.contains(&c));
            self.untyped &= requests_encryption;
            self.body(length - 4, marks);
        }
        used
    }
}

#[cfg(test)]
mod tests;
