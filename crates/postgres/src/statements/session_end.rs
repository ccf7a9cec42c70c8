//! The reasons why a session ends.

use crate::wire::WireError;

/// Why a session ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionEnd {
    /// The client has terminated the session or disconnected.
    ClientLeft,
    /// A message of the client has an invalid length or form.
    InvalidMessage,
    /// The session exceeds a limit on the length of its statements or on its pending replies.
    LimitExceeded,
}

impl From<WireError> for SessionEnd {
    fn from(_: WireError) -> SessionEnd {
        SessionEnd::InvalidMessage
    }
}

/// The number of bytes taken before the session ended, and why it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interrupted {
    pub(crate) taken: usize,
    pub(crate) reason: SessionEnd,
}
