//! Where a chunked body ends, as its raw bytes pass: hyper decodes it and does not tell what came behind.

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// The digits of a chunk's size.
    #[default]
    Size,
    /// What follows the digits on that line.
    Extension,
    /// So many bytes of data, then the end of their line.
    Data(u64),
    /// The end of the line of data.
    DataEnd,
    /// The first byte of a line after the last chunk: an empty one is the end.
    TrailerStart,
    /// A line after the last chunk.
    Trailer,
}

/// The place in a chunked body up to which it has come.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ChunkedBodyScanner {
    position: Position,
    chunk_bytes: u64,
    is_complete: bool,
}

impl ChunkedBodyScanner {
    /// Takes the next bytes; how many of them lie behind the body's end. What is malformed hyper rejects.
    pub(crate) fn count_bytes_after(&mut self, mut bytes: &[u8]) -> usize {
        while let (false, Some(byte)) = (self.is_complete, bytes.first()) {
            let mut step = 1;
            self.position = match (self.position, byte) {
                (Position::Size | Position::Extension, b'\n') => self.end_of_size_line(),
                (Position::Size, digit) if digit.is_ascii_hexdigit() => {
                    let digit = char::from(*digit).to_digit(16).unwrap_or(0);
                    self.chunk_bytes = self.chunk_bytes.saturating_mul(16).saturating_add(digit.into());
                    Position::Size
                }
                (Position::Size | Position::Extension, _) => Position::Extension,
                (Position::Data(left), _) => {
                    step = left.min(bytes.len() as u64) as usize;
                    match left - step as u64 {
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
            bytes = &bytes[step..];
        }
        bytes.len()
    }

    /// The size of a chunk is read: the last chunk has none.
    fn end_of_size_line(&mut self) -> Position {
        match std::mem::take(&mut self.chunk_bytes) {
            0 => Position::TrailerStart,
            chunk_bytes => Position::Data(chunk_bytes),
        }
    }
}

#[cfg(test)]
mod tests;
