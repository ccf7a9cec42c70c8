//! Reading of HTTP requests and answers from a connection.

use std::io::BufRead;

/// An HTTP request or answer as it was received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }
    pub(crate) fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    /// Reads a complete message; returns `None` if the connection ends before its last byte.
    pub(crate) fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            let read = from.read_line(&mut text).ok()?;
            (read > 0).then(|| text.trim_end().to_string())
        };
        let mut message = Message { start_line: line()?, ..Message::default() };
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            message.headers.push((name.into(), value.trim().into()));
        }
        if message.header("transfer-encoding") == Some("chunked") {
            message.body = read_chunked(from)?;
            return Some(message);
        }
        let length = message.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// Reads a chunked body and discards its trailers.
fn read_chunked(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let at = body.len();
        body.resize(at + length, 0);
        from.read_exact(&mut body[at..]).ok()?;
        loop {
            line.clear(); // the line end after the chunk, or the trailers and the empty line after them
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            if line == "\r\n" {
                break;
            }
        }
        if length == 0 {
            return Some(body);
        }
    }
}
