//! Finds the end of a chunked body in its raw bytes: hyper decodes the body but does not report the bytes after it.

/// The part of the body that the next byte belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// The digits of a chunk's size.
    #[default]
    Size,
    /// The rest of the line after the digits.
    Extension,
    /// The data of a chunk, of which this many bytes are left.
    Data(u64),
    /// The line end after the data of a chunk.
    DataEnd,
    /// The first byte of a line after the last chunk; an empty line ends the body.
    TrailerStart,
    /// The rest of a line after the last chunk.
    Trailer,
}

/// A scanner for the end of a chunked body that arrives in pieces.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ChunkedBodyScanner {
    position: Position,
    chunk_bytes: u64,
    is_complete: bool,
}

impl ChunkedBodyScanner {
    /// Scans the next bytes and returns how many of them follow the end of the body. Malformed bodies are rejected
    /// by hyper.
    pub(crate) fn count_bytes_after(&mut self, mut bytes: &[u8]) -> usize {
        while let (false, Some(byte)) = (self.is_complete, bytes.first()) {
            let mut consumed = 1;
            self.position = match (self.position, byte) {
                (Position::Size | Position::Extension, b'\n') => self.end_of_size_line(),
                (Position::Size, digit) if digit.is_ascii_hexdigit() => {
                    let digit = char::from(*digit).to_digit(16).unwrap_or(0);
                    self.chunk_bytes = self.chunk_bytes.saturating_mul(16).saturating_add(digit.into());
                    Position::Size
                }
                (Position::Size | Position::Extension, _) => Position::Extension,
                (Position::Data(left), _) => {
                    consumed = left.min(bytes.len() as u64) as usize;
                    match left - consumed as u64 {
                        0 => Position::DataEnd,
                        left => Position::Data(left),
                    }
                }
                (Position::DataEnd, b'\n') => Position::Size,
                (Position::DataEnd, _) => Position::DataEnd,
                (Position::TrailerStart, b'\n') => {
                    self.is_complete = true;
                    Position::TrailerStart
                }
                (Position::TrailerStart, b'\r') => Position::TrailerStart,
                (Position::Trailer, b'\n') => Position::TrailerStart,
                (Position::TrailerStart | Position::Trailer, _) => Position::Trailer,
            };
            bytes = &bytes[consumed..];
        }
        bytes.len()
    }

    /// Returns whether the end of the body was found.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the position after a line with a chunk's size. A size of zero marks the last chunk.
    fn end_of_size_line(&mut self) -> Position {
        match std::mem::take(&mut self.chunk_bytes) {
            0 => Position::TrailerStart,
            chunk_bytes => Position::Data(chunk_bytes),
        }
    }
}

#[cfg(test)]
mod tests;
