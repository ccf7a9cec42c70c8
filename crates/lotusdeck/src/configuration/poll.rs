//! One poll of the source: its URI and its outcome.

use lotusdeck_configuration::{decode, Failure, Message, Poll};
use lotusdeck_proxy::http_client::RequestError;

/// The HTTP status of a source that cannot take another poll at the moment.
const BUSY: u16 = 503;

/// The outcome of a poll.
pub(super) enum PollOutcome {
    /// The source answered with a message.
    Answered(Box<Message>),
    /// No valid message was received.
    Failed(Failure),
    /// The target was replaced first.
    TargetChanged,
    /// The program is ending.
    Closed,
}

impl PollOutcome {
    /// Returns the outcome of an HTTP exchange with the source.
    pub(super) fn from_result(result: Result<impl AsRef<[u8]>, RequestError>) -> PollOutcome {
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

/// Returns the path and query of a poll.
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
