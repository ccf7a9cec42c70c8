//! Finds the end of the head of an HTTP/1.1 message and the headers that frame its body, in raw bytes as they pass.

use std::cell::Cell;

/// The length of the end of a head in bytes: CRLF CRLF.
const HEAD_END_BYTES: u8 = 4;
const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8; 17] = b"transfer-encoding";

/// A scanner for the end of a head that arrives in pieces.
pub(super) struct HeadEnd {
    /// Bytes of the end matched so far.
    matched: Cell<u8>,
}

impl HeadEnd {
    /// Creates a scanner at the start of a head.
    pub(super) fn pending() -> HeadEnd {
        HeadEnd { matched: Cell::new(0) }
    }

    /// Creates a scanner after the end of a head.
    pub(super) fn passed() -> HeadEnd {
        HeadEnd { matched: Cell::new(HEAD_END_BYTES) }
    }

    /// Starts a new head.
    pub(super) fn reset(&self) {
        self.matched.set(0);
    }

    pub(super) fn is_passed(&self) -> bool {
        self.matched.get() == HEAD_END_BYTES
    }

    /// Scans the next bytes and returns how many of them follow the end of the head.
    pub(super) fn count_bytes_after(&self, bytes: &[u8]) -> usize {
        for (position, byte) in bytes.iter().enumerate() {
            if self.is_passed() {
                return bytes.len() - position;
            }
            self.matched.set(match (self.matched.get(), byte) {
                (matched @ (0 | 2), b'\r') | (matched @ (1 | 3), b'\n') => matched + 1,
                (_, b'\r') => 1,
                _ => 0,
            });
        }
        0
    }
}

/// The beginning of the current line, in lower case.
#[derive(Clone, Copy, Default)]
struct LinePrefix {
    bytes: [u8; TRANSFER_ENCODING.len()],
    /// The length of the line so far, including bytes that are not kept.
    length: usize,
}

/// Whether a head gives a length and an encoding: hyper hides the length if the body is chunked.
#[derive(Default)]
pub(super) struct BodyHeaders {
    has_content_length: Cell<bool>,
    has_transfer_encoding: Cell<bool>,
    line: Cell<LinePrefix>,
}

impl BodyHeaders {
    pub(super) fn has_content_length(&self) -> bool {
        self.has_content_length.get()
    }

    pub(super) fn has_transfer_encoding(&self) -> bool {
        self.has_transfer_encoding.get()
    }

    /// Starts a new head.
    pub(super) fn reset(&self) {
        self.has_content_length.set(false);
        self.has_transfer_encoding.set(false);
        self.line.set(LinePrefix::default());
    }

    /// Scans the next bytes of the head, which may arrive in pieces.
    pub(super) fn scan(&self, head: &[u8]) {
        let mut line = self.line.get();
        for byte in head {
            if *byte == b'\n' {
                line.length = 0;
                continue;
            }
            if let Some(slot) = line.bytes.get_mut(line.length) {
                *slot = byte.to_ascii_lowercase();
            }
            line.length += 1;
            if line.length == CONTENT_LENGTH.len() && line.bytes.starts_with(CONTENT_LENGTH) {
                self.has_content_length.set(true);
            }
            if line.length == TRANSFER_ENCODING.len() && line.bytes == *TRANSFER_ENCODING {
                self.has_transfer_encoding.set(true);
            }
        }
        self.line.set(line);
    }
}
