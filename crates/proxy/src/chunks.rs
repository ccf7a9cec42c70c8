//! Where a chunked body ends, as its raw bytes pass: hyper decodes it and does not tell what came behind.

/// What the next byte is taken for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Next {
    /// A digit of a chunk's size, or what follows the digits on that line.
    #[default]
    Size,
    Extension,
    /// So many bytes of data, then the end of their line.
    Data(u64),
    DataEnd,
    /// The first byte of a line after the last chunk: an empty one is the end.
    Line,
    Trailer,
}

/// The place in a chunked body up to which it has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chunks {
    next: Next,
    size: u64,
    over: bool,
}

impl Chunks {
    /// Takes the next bytes; how many of them lie behind the body's end. What is malformed hyper turns away.
    pub fn feed(&mut self, mut bytes: &[u8]) -> usize {
        while let (false, Some(byte)) = (self.over, bytes.first()) {
            let mut step = 1;
            self.next = match (self.next, byte) {
                (Next::Size | Next::Extension, b'\n') if self.size == 0 => Next::Line,
                (Next::Size | Next::Extension, b'\n') => Next::Data(std::mem::take(&mut self.size)),
                (Next::Size, digit) if digit.is_ascii_hexdigit() => {
                    let digit = char::from(*digit).to_digit(16).unwrap_or(0);
                    self.size = self.size.saturating_mul(16).saturating_add(digit.into());
                    Next::Size
                }
                (Next::Size | Next::Extension, _) => Next::Extension,
                (Next::Data(left), _) => {
                    step = left.min(bytes.len() as u64) as usize;
                    let left = left - step as u64;
                    if left > 0 {
                        Next::Data(left)
                    } else {
                        Next::DataEnd
                    }
                }
                (Next::DataEnd, b'\n') => Next::Size,
                (Next::DataEnd, _) => Next::DataEnd,
                (Next::Line, b'\n') => {
                    self.over = true;
                    Next::Line
                }
                (Next::Line, b'\r') => Next::Line,
                (Next::Trailer, b'\n') => Next::Line,
                (Next::Line | Next::Trailer, _) => Next::Trailer,
            };
            bytes = &bytes[step..];
        }
        bytes.len()
    }
}

#[cfg(test)]
mod tests;
