//! Identifies statement texts on server connections, and detects texts that change the state of their session.

use sha2::{Digest, Sha256};

/// Bytes of a SHA-256 hash that identify a text. Clients share the statements prepared on a connection, so it must be
/// infeasible to construct a text with the same key as another client's.
const KEY_BYTES: usize = 24;

/// The beginning of the names of statements on server connections.
pub(super) const SERVER_NAME_PREFIX: &str = "ld_";

/// Identifies a text and its parameter types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct StatementKey([u8; KEY_BYTES]);

impl StatementKey {
    /// Computes the key of the part of a Parse message after the statement's name.
    pub(super) fn of(text: &[u8]) -> StatementKey {
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&Sha256::digest(text)[..KEY_BYTES]);
        StatementKey(key)
    }

    /// Returns the statement's name on server connections, which is within PostgreSQL's limit of 63 bytes.
    pub(super) fn server_name(&self) -> String {
        self.0.iter().fold(SERVER_NAME_PREFIX.into(), |name, byte| format!("{name}{byte:02x}"))
    }
}

/// First words of statements that change the state of their session.
const SESSION_COMMANDS: [&str; 5] = ["discard", "deallocate", "listen", "load", "prepare"];
/// Forms of SET whose effect ends with their transaction.
const LOCAL_SETTINGS: [&str; 3] = ["set local", "set transaction", "set constraints"];
/// Words that indicate, anywhere in a text, that it may change the state of its session.
const SESSION_WORDS: [&str; 4] = ["temp", "advisory", "with hold", "set_config"];

/// Returns whether a text may have an effect that outlives its transaction: settings, listeners, temporary tables,
/// locks, or the loss of prepared statements. Compares words without parsing the text, so that a harmless text may
/// match too.
pub(super) fn may_change_session(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text).to_ascii_lowercase();
    let begins = |words: &str| text.split(';').any(|statement| statement.trim_start().starts_with(words));
    let is_session_setting = begins("set ") && !LOCAL_SETTINGS.iter().any(|words| begins(words));
    is_session_setting
        || SESSION_COMMANDS.iter().any(|word| begins(word))
        || SESSION_WORDS.iter().any(|words| text.contains(words))
}
