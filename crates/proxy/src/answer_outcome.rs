//! What a backend's answer says about its attempt.

use hyper::http::response::Parts;
use hyper::StatusCode;
use lotusdeck_policy::Outcome;

/// The outcome by the head of an answer. Whatever the protocol does not list may have run.
pub(crate) fn outcome_of(answer: &Parts) -> Outcome {
    let unprocessed = answer.headers.get("x-unprocessed").is_some_and(|value| value == "1");
    match answer.status {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
