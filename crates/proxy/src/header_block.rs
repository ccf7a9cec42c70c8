//! The headers of a message in little memory.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

const NAME_END: u8 = b':';
const LINE_END: u8 = b'\n';

/// Headers as text, a line each. A map takes some 200 bytes for each header, however short, and the values of one that was
/// received keep the whole buffer that it was read from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeaderBlock {
    lines: Box<[u8]>,
}

impl HeaderBlock {
    /// Copies the headers of a map.
    pub(crate) fn new(headers: &HeaderMap) -> HeaderBlock {
        let length = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 2).sum();
        let mut lines = Vec::with_capacity(length);
        for (name, value) in headers {
            lines.extend_from_slice(name.as_str().as_bytes());
            lines.push(NAME_END);
            lines.extend_from_slice(value.as_bytes());
            lines.push(LINE_END);
        }
        HeaderBlock { lines: lines.into() }
    }

    /// Returns the headers as a map that has room for `additional` more.
    pub(crate) fn to_map(&self, additional: usize) -> HeaderMap {
        let lines = || self.lines.split(|byte| *byte == LINE_END);
        let mut headers = HeaderMap::with_capacity(lines().count() + additional);
        for (name, value) in lines().filter_map(parse_line) {
            headers.append(name, value);
        }
        headers
    }
}

/// Returns the name and the value of a line; neither contains a byte that ends it.
fn parse_line(line: &[u8]) -> Option<(HeaderName, HeaderValue)> {
    let end = line.iter().position(|byte| *byte == NAME_END)?;
    let name = HeaderName::from_bytes(&line[..end]).ok()?;
    let value = HeaderValue::from_bytes(&line[end + 1..]).ok()?;
    Some((name, value))
}

#[cfg(test)]
mod tests;
