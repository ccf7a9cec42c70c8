//! Detects texts whose effect outlives their statement. Compares words without parsing the text, so that a harmless text
//! may match too.

/// What a text may do besides returning its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TextEffects {
    /// Whether it may change the state of its session beyond its transaction.
    pub(super) may_change_session: bool,
    /// Whether it may begin a transaction block.
    pub(crate) may_begin_block: bool,
}

impl TextEffects {
    pub(super) const NONE: TextEffects = TextEffects { may_change_session: false, may_begin_block: false };
    /// The effects that are assumed of a text that is not inspected as a whole.
    pub(super) const UNKNOWN: TextEffects = TextEffects { may_change_session: true, may_begin_block: true };

    pub(super) fn of(text: &[u8]) -> TextEffects {
        let text = String::from_utf8_lossy(text).to_ascii_lowercase();
        TextEffects { may_change_session: may_change_session(&text), may_begin_block: may_begin_block(&text) }
    }
}

/// First words of statements that change the state of their session.
const SESSION_COMMANDS: [&str; 5] = ["discard", "deallocate", "listen", "load", "prepare"];
/// Forms of SET whose effect ends with their transaction.
const LOCAL_SETTINGS: [&str; 3] = ["set local", "set transaction", "set constraints"];
/// Words that indicate, anywhere in a text, that it may change the state of its session.
const SESSION_WORDS: [&str; 4] = ["temp", "advisory", "with hold", "set_config"];

/// Returns whether a text may have an effect that outlives its transaction: settings, listeners, temporary tables,
/// locks, or the loss of prepared statements.
fn may_change_session(text: &str) -> bool {
    let begins = |words: &str| text.split(';').any(|statement| statement.trim_start().starts_with(words));
    let is_session_setting = begins("set ") && !LOCAL_SETTINGS.iter().any(|words| begins(words));
    is_session_setting
        || SESSION_COMMANDS.iter().any(|word| begins(word))
        || SESSION_WORDS.iter().any(|words| text.contains(words))
}

/// Returns whether a text, in lower case, may begin a transaction block: whether it has the words of BEGIN or START
/// TRANSACTION anywhere.
fn may_begin_block(text: &str) -> bool {
    contains_word(text, "begin") || (contains_word(text, "start") && contains_word(text, "transaction"))
}

/// Returns whether a text contains a word that is not part of a longer name.
fn contains_word(text: &str, word: &str) -> bool {
    let is_in_name = |character: char| character == '_' || character == '$' || character.is_alphanumeric();
    text.match_indices(word).any(|(start, _)| {
        let before = text[..start].chars().next_back();
        let after = text[start + word.len()..].chars().next();
        !before.is_some_and(is_in_name) && !after.is_some_and(is_in_name)
    })
}
