//! Reads and validates the heads of clients' requests. An invalid request is answered at once, and its connection
//! ends. The names of the headers that clients send are defined here only.

use crate::body::MAX_BODY_BYTES;
use crate::invalid_request::InvalidRequest;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};
use lotusdeck_core::RequestLabels;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{ClassId, Micros, SideEffects, TenantId};

const CORRELATION_ID: &str = "x-correlation-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const TIME_LEFT: &str = "x-time-left";
const TENANT: &str = "x-account";
const WORK_HINT: &str = "x-weight-hint";
const CLIENT_RETRY: &str = "x-repeat";
/// The longest id of a request, in bytes.
const MAX_ID_BYTES: usize = 128;
/// How many times escapes are decoded when looking for dot segments: a server behind the backend may decode them a
/// second time.
const UNESCAPE_ROUNDS: usize = 2;

/// Returns whether a path keeps its first segment in every way in which backends may resolve it. The class of a
/// request, and with it the rules on retries, is taken from that segment. A backend that resolves dot segments (RFC
/// 3986, 5.2.4), even ones that are escaped, next to empty segments, after a backslash or with a parameter, would
/// otherwise run `/preview/../order/k` as another class.
pub(crate) fn stays_in_class(path: &str) -> bool {
    if !path.contains('%') && !path.contains("..") {
        return true; // it has no dot segments that lead upwards
    }
    let mut decoded = path.as_bytes().to_vec();
    for _ in 0..=UNESCAPE_ROUNDS {
        let is_slash = |byte| byte == b'/';
        let is_any_slash = |byte| byte == b'/' || byte == b'\\';
        if leaves_first_segment(&decoded, is_slash) || leaves_first_segment(&decoded, is_any_slash) {
            return false;
        }
        decoded = unescape(&decoded);
    }
    true
}

/// Returns whether a dot segment removes the first segment. Empty segments do not count, as some servers merge
/// them.
fn leaves_first_segment(path: &[u8], is_separator: impl Fn(u8) -> bool) -> bool {
    let mut depth = 0u32;
    for segment in path.split(|byte| is_separator(*byte)).skip(2) {
        match segment.split(|byte| *byte == b';').next().unwrap_or_default() {
            b"" | b"." => {}
            b".." if depth == 0 => return true,
            b".." => depth -= 1,
            _ => depth += 1,
        }
    }
    false
}

/// Decodes the escapes of a path once; invalid ones stay as they are.
fn unescape(path: &[u8]) -> Vec<u8> {
    let hex_digit = |position: usize| path.get(position).and_then(|byte| char::from(*byte).to_digit(16));
    let mut unescaped = Vec::with_capacity(path.len());
    let mut position = 0;
    while let Some(&byte) = path.get(position) {
        let digits = hex_digit(position + 1).zip(hex_digit(position + 2)).filter(|_| byte == b'%');
        unescaped.push(digits.map_or(byte, |(high, low)| (high * 16 + low) as u8));
        position += if digits.is_some() { 3 } else { 1 };
    }
    unescaped
}

/// The values read from the head of a valid request.
pub(crate) struct ValidRequest {
    /// The id that the client gave it.
    pub id: HeaderValue,
    /// How long the client waits for its answer.
    pub time_left: Micros,
    /// The length of its body in bytes; `None` for a chunked body.
    pub length: Option<u64>,
}

/// Checks the head of a request. `has_content_length` says whether the head gives a length, even one that hyper
/// hides; `max_time` is the deadline of its class.
///
/// # Errors
/// Returns the first violation found.
pub(crate) fn validate(
    head: &Parts, body: &Incoming, has_content_length: bool, side_effects: SideEffects, max_time: Micros,
) -> Result<ValidRequest, InvalidRequest> {
    let headers = &head.headers;
    let id = single_header_value(headers, CORRELATION_ID, InvalidRequest::CorrelationId)?;
    let id = id.filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES);
    let id = id.ok_or(InvalidRequest::CorrelationId)?;
    if !fits_class(head, side_effects) {
        return Err(InvalidRequest::Method);
    }
    let encoding =
        single_header_value(headers, TRANSFER_ENCODING.as_str(), InvalidRequest::TransferEncoding)?;
    let is_chunked = |encoding: &HeaderValue| encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if encoding.is_some_and(|encoding| has_content_length || !is_chunked(encoding)) {
        return Err(InvalidRequest::TransferEncoding);
    }
    single_header_value(headers, CONTENT_LENGTH.as_str(), InvalidRequest::Length)?;
    let length = body.size_hint().lower();
    if length > MAX_BODY_BYTES {
        return Err(InvalidRequest::TooLong);
    }
    if head.method == Method::GET && (length > 0 || encoding.is_some()) {
        return Err(InvalidRequest::Length);
    }
    let time_left = match single_header_value(headers, TIME_LEFT, InvalidRequest::TimeLeft)? {
        Some(value) => {
            let seconds = non_negative_number(value).ok_or(InvalidRequest::TimeLeft)?;
            Micros::from_secs(seconds).min(max_time)
        }
        None => max_time,
    };
    // A copy, as the value that was received keeps the buffer that it was read from.
    let id = HeaderValue::from_bytes(id.as_bytes()).map_err(|_| InvalidRequest::CorrelationId)?;
    Ok(ValidRequest { id, time_left, length: encoding.is_none().then_some(length) })
}

/// Returns whether the method and the idempotency key allow the request to be repeated as its class permits.
fn fits_class(head: &Parts, side_effects: SideEffects) -> bool {
    let key_count = head.headers.get_all(IDEMPOTENCY_KEY).iter().count();
    match side_effects {
        SideEffects::None => head.method == Method::GET,
        SideEffects::IdempotencyKey { .. } => head.method == Method::POST && key_count == 1,
        SideEffects::NonIdempotent => head.method == Method::POST && key_count <= 1,
    }
}

/// Returns the class that the path of a request begins with.
///
/// # Errors
/// Returns an error if there is no such class.
pub(crate) fn requested_class(names: &Names, path: &str) -> Result<ClassId, InvalidRequest> {
    let name = path.split('/').nth(1);
    name.and_then(|name| names.class(name)).ok_or(InvalidRequest::NoSuchClass)
}

/// Returns the tenant that the request names, if the settings have it.
pub(crate) fn requested_tenant(names: &Names, headers: &HeaderMap) -> Option<TenantId> {
    names.tenant(headers.get(TENANT)?.to_str().ok()?)
}

/// Statements of a client about its request, which may be false.
pub(crate) struct ClientHints {
    /// The work that the request causes.
    pub work: Option<Micros>,
    /// Whether the client has sent the request before.
    pub is_retry: bool,
}

impl ClientHints {
    pub(crate) fn read(headers: &HeaderMap) -> ClientHints {
        let work = headers.get(WORK_HINT).and_then(non_negative_number);
        ClientHints {
            work: work.map(|micros| Micros(micros as u64)),
            is_retry: headers.get(CLIENT_RETRY).is_some_and(|value| value == "1"),
        }
    }
}

/// Returns the labels of a request in the journal, from its id and path.
pub(crate) fn correlation_labels(id: &HeaderValue, path: &str) -> RequestLabels {
    let (class, rest) = path.trim_start_matches('/').split_once('/').unwrap_or((path, ""));
    let key = rest.rsplit('/').next().unwrap_or_default();
    let id = String::from_utf8_lossy(id.as_bytes()).into_owned();
    RequestLabels { id, class: class.into(), key: key.into() }
}

/// Returns the value of a header that may occur at most once.
fn single_header_value<'a>(
    headers: &'a HeaderMap, name: &str, fault: InvalidRequest,
) -> Result<Option<&'a HeaderValue>, InvalidRequest> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (first, None) => Ok(first),
        _ => Err(fault),
    }
}

/// Parses a finite number that is not negative, as durations and amounts are.
fn non_negative_number(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?;
    text.trim().parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

#[cfg(test)]
mod tests;
