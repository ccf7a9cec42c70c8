//! Statements as their clients prepared them.

use super::effects::TextEffects;
use super::key::StatementKey;
use bytes::Bytes;

/// A text that a client has prepared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StatementText {
    /// The body of its Parse message after the name.
    pub(super) bytes: Bytes,
    pub(super) effects: TextEffects,
}

impl StatementText {
    pub(super) fn new(bytes: Bytes) -> StatementText {
        let effects = TextEffects::of(&bytes);
        StatementText { bytes, effects }
    }
}

/// A named statement of a client.
#[derive(Clone)]
pub(super) struct NamedStatement {
    pub(super) key: StatementKey,
    pub(super) text: StatementText,
}

/// A session's unnamed statement. It belongs to the session, and lasts until the next Parse without a name, Query or
/// Close of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum UnnamedStatement {
    #[default]
    Absent,
    /// The text is kept, and can be parsed on any server connection.
    Kept(StatementText),
    /// The text was too long to be kept: the statement can be used in the transaction that parsed it.
    Streamed,
}

impl UnnamedStatement {
    pub(super) fn effects(&self) -> TextEffects {
        match self {
            UnnamedStatement::Absent => TextEffects::NONE,
            UnnamedStatement::Kept(text) => text.effects,
            UnnamedStatement::Streamed => TextEffects::UNKNOWN,
        }
    }
}
