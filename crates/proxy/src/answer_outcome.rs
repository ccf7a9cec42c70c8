//! The outcome of an attempt according to the backend's answer.

use hyper::http::response::Parts;
use hyper::StatusCode;
use lotusdeck_policy::Outcome;

/// Returns the outcome according to the head of an answer. Any answer that the protocol does not define counts as an
/// error, after which the request may have run.
pub(crate) fn outcome_of(answer: &Parts) -> Outcome {
    let unprocessed = answer.headers.get("x-unprocessed").is_some_and(|value| value == "1");
    match answer.status {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
