//! Limits the length of texts in records.

use crate::frame::MAX_RECORD;

/// The greatest length of a text, bytes. A record with the longest texts is still shorter than `MAX_RECORD`.
const MAX_TEXT: usize = MAX_RECORD / 8;

/// Truncates a text at a character boundary, so that no record is too long.
pub(crate) fn truncate(text: &str) -> String {
    let longest = MAX_TEXT.min(text.len());
    let end = (0..=longest).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    text[..end].into()
}
