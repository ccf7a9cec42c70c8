//! The identity of a statement's text at every server, and whether the text leaves traces in its session.

use sha2::{Digest, Sha256};
use std::collections::HashSet;

/// Bytes of a SHA-256 that identify a text. Clients share what servers have prepared, so that nobody may be able to make a
/// text that passes for another client's.
const KEY_BYTES: usize = 24;

/// Identifies a text with its parameter types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StatementKey([u8; KEY_BYTES]);

/// The texts that a server connection has prepared.
pub(crate) type Prepared = HashSet<StatementKey>;

impl StatementKey {
    /// The key of a Parse message's content after the statement's name.
    pub(super) fn of(text: &[u8]) -> StatementKey {
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&Sha256::digest(text)[..KEY_BYTES]);
        StatementKey(key)
    }

    /// The name of the text at every server: within the 63 bytes that PostgreSQL distinguishes.
    pub(super) fn server_name(&self) -> String {
        self.0.iter().fold("ld_".into(), |name, byte| format!("{name}{byte:02x}"))
    }
}

/// First words of statements that change their session.
const SESSION_COMMANDS: [&str; 5] = ["discard", "deallocate", "listen", "load", "prepare"];
/// Forms of SET that end with their transaction.
const LOCAL_SETTINGS: [&str; 3] = ["set local", "set transaction", "set constraints"];
/// Words anywhere in a text by which it may change its session.
const SESSION_WORDS: [&str; 4] = ["temp", "advisory", "with hold", "set_config"];

/// Whether a text may leave behind what outlives its transaction: settings, listeners, temporary tables, locks, or the
/// loss of prepared statements. Matched by words; in doubt it does.
pub(super) fn leaves_traces(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text).to_ascii_lowercase();
    let begins = |words: &str| text.split(';').any(|statement| statement.trim_start().starts_with(words));
    let is_session_setting = begins("set ") && !LOCAL_SETTINGS.iter().any(|words| begins(words));
    is_session_setting
        || SESSION_COMMANDS.iter().any(|word| begins(word))
        || SESSION_WORDS.iter().any(|words| text.contains(words))
}
