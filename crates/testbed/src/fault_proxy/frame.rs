//! Where messages begin and end in one direction's bytes. Sans-IO and cut at any byte: what has come so far is enough
//! to name every place that it reaches. What it cannot read it lets pass, and names no place any more.

use super::script::{Framing, Place, Way};

/// A head that is longer is none.
const MAX_HEAD: usize = 64 * 1024;
/// SSLRequest and GSSENCRequest: start-up messages behind which another start-up message comes.
const ASKS_ENCRYPTION: [u32; 2] = [80_877_103, 80_877_104];

/// A place in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Bytes before it; it may lie ahead of what has come.
    pub at: u64,
    /// Which message, from 1. An HTTP answer of status 1xx has the number of the one that it precedes.
    pub message: u64,
    /// Where in it.
    pub place: Place,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Between messages.
    Ready,
    /// Inside an HTTP head.
    Head,
    /// So many bytes of a body are to come.
    Body(u64),
    /// Inside the line of a chunk's size, of its data with the line end, or of the lines behind the last.
    Size,
    Data(u64),
    Trailers,
    /// Inside type and length of a PostgreSQL message.
    Length,
    /// To the connection's end, or unreadable.
    Rest,
}

/// Follows one direction.
pub struct Framer {
    framing: Framing,
    way: Way,
    state: State,
    at: u64,
    message: u64,
    /// The line, or type and length, so far.
    kept: Vec<u8>,
    /// Bytes of the head so far.
    head: usize,
    /// Of an HTTP head: its first line was read; its status; its length; its chunks.
    status: Option<u16>,
    length: Option<u64>,
    chunked: bool,
    /// A PostgreSQL message without a type may still come.
    untyped: bool,
}

impl Framer {
    /// From the connection's first byte on.
    pub fn new(framing: Framing, way: Way) -> Framer {
        Framer {
            framing,
            way,
            state: if framing == Framing::None { State::Rest } else { State::Ready },
            at: 0,
            message: 0,
            kept: Vec::new(),
            head: 0,
            status: None,
            length: None,
            chunked: false,
            untyped: true,
        }
    }

    /// Takes the next bytes; the places that they reach or tell of.
    pub fn feed(&mut self, mut bytes: &[u8], marks: &mut Vec<Mark>) {
        while !bytes.is_empty() && self.state != State::Rest {
            let used = match self.state {
                State::Ready => {
                    self.message += 1;
                    self.mark(0, Place::Start, marks);
                    self.kept.clear();
                    (self.head, self.status, self.length, self.chunked) = (0, None, None, false);
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
                State::Rest => bytes.len(),
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
        self.kept.clear();
        self.state = State::Size;
    }

    /// A body of that length begins here.
    fn body(&mut self, length: u64, marks: &mut Vec<Mark>) {
        self.mark(0, Place::Body, marks);
        if length > 0 {
            self.mark(length / 2, Place::Middle, marks);
            self.state = State::Body(length);
        } else {
            self.end(marks);
        }
    }

    /// Takes up to a line's end; how much that was.
    fn line(&mut self, bytes: &[u8], marks: &mut Vec<Mark>) -> usize {
        let end = bytes.iter().position(|b| *b == b'\n');
        let used = end.map_or(bytes.len(), |end| end + 1);
        self.head += used;
        if self.head > MAX_HEAD {
            self.state = State::Rest;
            return used;
        }
        self.at += used as u64;
        self.kept.extend_from_slice(&bytes[..used]);
        if end.is_some() {
            let line = std::mem::take(&mut self.kept);
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
        self.head = 0; // the bound is for a head or one line, not for all sizes together
        let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
        self.state = match size {
            Some(0) => State::Trailers,
            Some(size) if size < 1 << 60 => State::Data(size + 2),
            _ => State::Rest,
        };
    }

    fn field(&mut self, line: &[u8]) {
        let text = String::from_utf8_lossy(line);
        if self.status.is_none() {
            let code =
                text.strip_prefix("HTTP/1.").and_then(|rest| rest.split_whitespace().nth(1)?.parse().ok());
            let fits = code.is_some() == (self.way == Way::Down);
            (self.status, self.state) =
                (Some(code.unwrap_or(0)), if fits { State::Head } else { State::Rest });
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
            self.state = State::Head; // an empty line before a message is passed over (RFC 9112, 2.2)
            return;
        };
        let none = matches!(status, 100..=199 | 204 | 304) || self.way == Way::Up && !self.chunked;
        if matches!(status, 100..=199) {
            self.message -= 1;
            self.state = State::Ready;
        } else if self.chunked {
            self.mark(0, Place::Body, marks);
            self.chunk(marks);
        } else if let Some(length) = self.length.or(none.then_some(0)) {
            self.body(length, marks);
        } else {
            self.mark(0, Place::Body, marks);
            self.state = State::Rest; // to the connection's end
        }
    }

    /// Takes type and length of a PostgreSQL message, or what of them has come.
    fn length(&mut self, bytes: &[u8], marks: &mut Vec<Mark>) -> usize {
        // A server's word on encryption is one byte.
        let first = self.kept.first().copied().unwrap_or(bytes[0]);
        if self.untyped && self.way == Way::Down {
            if matches!(first, b'N' | b'S') {
                self.at += 1;
                self.end(marks);
                return 1;
            }
            self.untyped = false;
        }
        let typed = usize::from(!self.untyped);
        // A client that asks for encryption sends another untyped message: its code tells.
        let whole = 4 + typed;
        let used = (whole - self.kept.len()).min(bytes.len());
        self.kept.extend_from_slice(&bytes[..used]);
        self.at += used as u64;
        if self.kept.len() == whole {
            let length = self.kept[typed..].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
            if !(4..=1 << 30).contains(&length) {
                self.state = State::Rest;
                return used;
            }
            let code = bytes.get(used..used + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
            // Where the code has not come with it, an untyped message of eight bytes is taken for such a question:
            // the only other one of that length would name no user, and no server takes it.
            let asks = length == 8 && code.is_none_or(|c| ASKS_ENCRYPTION.contains(&c));
            self.untyped &= asks;
            self.body(length - 4, marks);
        }
        used
    }
}

#[cfg(test)]
mod tests;
