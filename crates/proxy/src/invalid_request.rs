//! Why a client's request is invalid, and what it is answered.

use hyper::StatusCode;

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InvalidRequest {
    /// Its path begins with no class that the settings have.
    NoSuchClass,
    /// No id, more than one, or one that is too long.
    CorrelationId,
    /// Another client's request of that id is open.
    IdInUse,
    /// The class counts as safer to repeat than the request says that it is.
    Method,
    /// The time left is no single number.
    TimeLeft,
    /// An encoding other than chunked, or a length in addition, so that a second request may lie in the body.
    TransferEncoding,
    /// The length does not fit the method or the body.
    Length,
    /// The body is too long.
    TooLong,
    /// The body is malformed.
    Body,
    /// The body did not come in time.
    BodyTimeout,
    /// The target has no path.
    Target,
    /// The path leads out of the class that it begins with.
    Path,
    /// Its client has left, so that nobody gets the answer.
    ClientLeft,
}

impl InvalidRequest {
    /// The status and the text that its client gets.
    pub(crate) fn answer(self) -> (StatusCode, &'static str) {
        match self {
            InvalidRequest::NoSuchClass => (StatusCode::NOT_FOUND, "no such class\n"),
            InvalidRequest::CorrelationId => {
                (StatusCode::BAD_REQUEST, "X-Correlation-Id: expected exactly one\n")
            }
            InvalidRequest::IdInUse => (StatusCode::CONFLICT, "a request of this X-Correlation-Id is open\n"),
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
            InvalidRequest::ClientLeft => (StatusCode::BAD_REQUEST, "the client left\n"),
            InvalidRequest::Target => (StatusCode::BAD_REQUEST, "the target has no path\n"),
        }
    }
}
