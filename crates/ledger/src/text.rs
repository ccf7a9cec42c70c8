//! Texts in records.

use crate::frame::MAX_RECORD;

/// The greatest length of a text, bytes: with all its texts a record is still shorter than the longest.
const MAX_TEXT: usize = MAX_RECORD / 8;

/// Truncates a text, at a character's boundary, so that no record is too long.
pub(crate) fn truncate(text: &str) -> String {
    let longest = MAX_TEXT.min(text.len());
    let end = (0..=longest).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    text[..end].into()
}
