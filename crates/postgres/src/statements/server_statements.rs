//! The statements that are prepared on a server connection.

use super::key::StatementKey;
use bytes::Bytes;
use std::collections::HashMap;

/// Whether a text is prepared on a server connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NamedOnServer {
    Prepared,
    /// A Close of it may have been ignored by the server, or a later part of the pipeline may prepare it.
    Unknown,
}

/// The unnamed statement on a server connection. All clients that use the connection share it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum UnnamedOnServer {
    /// There is none.
    #[default]
    Absent,
    /// The body of its Parse message after the name.
    Text(Bytes),
    /// There may be one, with any text.
    Unknown,
}

/// The statements prepared on a server connection, after the messages sent so far.
#[derive(Default)]
pub(crate) struct ServerStatements {
    /// The texts prepared under names derived from them; the others are not prepared.
    pub(super) named: HashMap<StatementKey, NamedOnServer>,
    pub(super) unnamed: UnnamedOnServer,
}

impl ServerStatements {
    /// Returns the number of named statements.
    pub(crate) fn named_count(&self) -> usize {
        self.named.len()
    }
}
