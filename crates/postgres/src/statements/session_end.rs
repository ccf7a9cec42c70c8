//! Why a session ends.

use crate::wire::WireError;

/// Why a session ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionEnd {
    /// The client has ended it, or has disconnected.
    ClientLeft,
    /// A message of an impossible length or form.
    InvalidMessage,
    /// More or longer statements, or more messages ahead, than one session may have.
    LimitExceeded,
}

impl From<WireError> for SessionEnd {
    fn from(_: WireError) -> SessionEnd {
        SessionEnd::InvalidMessage
    }
}

/// Bytes that were taken before the session ended, and why it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interrupted {
    pub(crate) taken: usize,
    pub(crate) reason: SessionEnd,
}
