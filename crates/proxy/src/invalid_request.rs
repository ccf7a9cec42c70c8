//! The reasons for which a client's request is invalid, and the answers to them.

use crate::request_ids::IdConflict;
use hyper::StatusCode;

/// The reason for which a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InvalidRequest {
    /// The path does not begin with a class of the settings.
    NoSuchClass,
    /// The id is missing, empty, repeated or too long.
    CorrelationId,
    /// Another request with that id is open.
    IdInUse,
    /// An earlier request with that id is over, and may run or have run.
    IdMayHaveRun,
    /// The method or the idempotency key does not fit the class, whose rules might allow retries that are
    /// unsafe for the request.
    Method,
    /// The time left is not a single non-negative number.
    TimeLeft,
    /// The encoding is not chunked, or a length is given in addition, so that the body may contain a second
    /// request.
    TransferEncoding,
    /// The length does not match the method or the body.
    Length,
    /// The body is too long.
    TooLong,
    /// The body is malformed.
    Body,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The target has no path.
    Target,
    /// Dot segments in the path lead out of the class that it begins with.
    Path,
    /// The client has disconnected and cannot receive an answer.
    ClientDisconnected,
}

impl From<IdConflict> for InvalidRequest {
    fn from(conflict: IdConflict) -> InvalidRequest {
        match conflict {
            IdConflict::Open => InvalidRequest::IdInUse,
            IdConflict::MayHaveRun => InvalidRequest::IdMayHaveRun,
        }
    }
}

impl InvalidRequest {
    /// Returns the status and the text of the answer to the client.
    pub(crate) fn answer(self) -> (StatusCode, &'static str) {
        match self {
            InvalidRequest::NoSuchClass => (StatusCode::NOT_FOUND, "no such class\n"),
            InvalidRequest::CorrelationId => {
                (StatusCode::BAD_REQUEST, "X-Correlation-Id: expected exactly one\n")
            }
            InvalidRequest::IdInUse => (StatusCode::CONFLICT, "a request of this X-Correlation-Id is open\n"),
            InvalidRequest::IdMayHaveRun => {
                (StatusCode::CONFLICT, "a request of this X-Correlation-Id may have run\n")
            }
            InvalidRequest::Method => {
                (StatusCode::BAD_REQUEST, "the method or Idempotency-Key does not fit the class\n")
            }
            InvalidRequest::TimeLeft => {
                (StatusCode::BAD_REQUEST, "X-Time-Left: expected one number of seconds\n")
            }
            InvalidRequest::TransferEncoding => {
                (StatusCode::BAD_REQUEST, "Transfer-Encoding: expected chunked and no Content-Length\n")
            }
            InvalidRequest::Length => (StatusCode::BAD_REQUEST, "the length does not fit the request\n"),
            InvalidRequest::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB\n"),
            InvalidRequest::Body => (StatusCode::BAD_REQUEST, "the body is malformed\n"),
            InvalidRequest::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"),
            InvalidRequest::Path => (StatusCode::BAD_REQUEST, "the path leads out of its class\n"),
            InvalidRequest::ClientDisconnected => (StatusCode::BAD_REQUEST, "the client left\n"),
            InvalidRequest::Target => (StatusCode::BAD_REQUEST, "the target has no path\n"),
        }
    }
}
