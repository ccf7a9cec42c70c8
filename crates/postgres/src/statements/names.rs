//! Parsing of names in the bodies of messages.

use super::session_end::SessionEnd;

/// Returns the position of the zero byte that ends the text at `start`.
pub(super) fn text_end(bytes: &[u8], start: usize) -> Option<usize> {
    bytes.get(start..)?.iter().position(|byte| *byte == 0).map(|length| start + length)
}

/// Returns the name in the body of a Describe or Close of a statement.
pub(super) fn statement_name(body: &[u8]) -> Result<&[u8], SessionEnd> {
    let end = text_end(body, 1).ok_or(SessionEnd::InvalidMessage)?;
    Ok(&body[1..end])
}
