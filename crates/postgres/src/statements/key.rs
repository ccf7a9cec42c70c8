//! Identifies statement texts on server connections.

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
