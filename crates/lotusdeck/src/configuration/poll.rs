//! One poll of the source: its request, and how it ended.

use lotusdeck_configuration::{decode, Failure, Message, Poll};
use lotusdeck_proxy::http_client::RequestError;

/// The status of a source that has no room for another poll.
const BUSY: u16 = 503;

/// How a poll ended.
pub(super) enum PollOutcome {
    /// With a message.
    Answered(Box<Message>),
    /// Without one.
    Failed(Failure),
    /// Another order came first.
    OrderChanged,
    /// The program ends.
    Closed,
}

impl PollOutcome {
    /// From what the call gave.
    pub(super) fn of_call(result: Result<impl AsRef<[u8]>, RequestError>) -> PollOutcome {
        let body = match result {
            Ok(body) => body,
            Err(RequestError::Status(BUSY)) => return PollOutcome::Failed(Failure::Busy),
            Err(RequestError::Silent) => return PollOutcome::Failed(Failure::TimedOut),
            Err(error) => return PollOutcome::Failed(Failure::ConnectionFailed(error.to_string())),
        };
        match decode(body.as_ref()) {
            Ok(message) => PollOutcome::Answered(Box::new(message)),
            Err(error) => PollOutcome::Failed(Failure::Malformed(error.to_string())),
        }
    }
}

/// The path and query of a poll.
pub(super) fn uri(poll: &Poll) -> String {
    let mut uri = format!("/configuration?wait_ms={}", poll.wait.as_millis());
    if let Some(after) = poll.after {
        uri.push_str(&format!("&after={after}"));
    }
    if let Some(rejected) = poll.rejected_version {
        uri.push_str(&format!("&past={rejected}"));
    }
    uri
}
