//! Limits the length of texts in records.

use crate::frame::MAX_RECORD_LEN;

/// The maximum length of a text, bytes. A record whose texts all have this length is still shorter than
/// `MAX_RECORD_LEN`.
const MAX_TEXT_LEN: usize = MAX_RECORD_LEN / 8;

/// Truncates a text at a character boundary, so that no record is too long.
pub(crate) fn truncate(text: &str) -> String {
    let longest = MAX_TEXT_LEN.min(text.len());
    let end = (0..=longest).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    text[..end].into()
}
