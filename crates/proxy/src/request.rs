//! What a client's request must be before it is taken: the rest is answered at once and its connection ends.

use crate::body::MOST;
use crate::fault::Fault;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};
use lotusdeck_policy::{Micros, SideEffects};

/// A request's id may be so long.
const MAX_ID: usize = 128;

/// How often escapes are undone in search of others: whoever stands behind a backend may undo them once more.
const UNESCAPED: usize = 2;

/// Whether a path keeps its first part however it is read on its way: the class was taken from that part, and with
/// it the rules on repeats. A backend that resolves dot segments (RFC 3986, 5.2.4), be they escaped, beside empty
/// segments, behind a backslash or with a parameter, would else run `/preview/../order/k` as another class.
pub fn stays_in_class(path: &str) -> bool {
    if !path.contains('%') && !path.contains("..") {
        return true; // nothing in it leads upwards
    }
    let mut read = path.as_bytes().to_vec();
    for _ in 0..=UNESCAPED {
        if leaves(&read, |b| b == b'/') || leaves(&read, |b| b == b'/' || b == b'\\') {
            return false;
        }
        read = unescaped(&read);
    }
    true
}

/// Whether a dot segment takes the first part away. Empty segments hold nothing: some merge them.
fn leaves(path: &[u8], ends: impl Fn(u8) -> bool) -> bool {
    let (mut parts, mut deep) = (path.split(|b| ends(*b)).skip(2), 0u32);
    parts.any(|part| {
        match part.split(|b| *b == b';').next().unwrap_or_default() {
            b"" | b"." => {}
            b".." if deep == 0 => return true,
            b".." => deep -= 1,
            _ => deep += 1,
        }
        false
    })
}

/// With its escapes undone once; what is none stays as it is.
fn unescaped(path: &[u8]) -> Vec<u8> {
    let digit = |at: usize| path.get(at).and_then(|b| char::from(*b).to_digit(16));
    let (mut out, mut at) = (Vec::with_capacity(path.len()), 0);
    while let Some(&byte) = path.get(at) {
        let escape = (byte == b'%').then(|| digit(at + 1).zip(digit(at + 2))).flatten();
        out.push(escape.map_or(byte, |(high, low)| (high * 16 + low) as u8));
        at += if escape.is_some() { 3 } else { 1 };
    }
    out
}

/// The request's id, how long its client waits, at most `most`, and its body's length where it is told. `sized`:
/// the head gives a length, be it one that hyper hides.
pub fn check(
    head: &Parts, body: &Incoming, sized: bool, effect: SideEffects, most: Micros,
) -> Result<(HeaderValue, Micros, Option<u64>), Fault> {
    let headers = &head.headers;
    let id = single(headers, "x-correlation-id").map_err(|_| Fault::Id)?;
    let id = id.filter(|id| !id.is_empty() && id.len() <= MAX_ID).ok_or(Fault::Id)?;
    let keys = headers.get_all("idempotency-key").iter().count();
    let fits = match effect {
        SideEffects::None => head.method == Method::GET,
        SideEffects::IdempotencyKey { .. } => head.method == Method::POST && keys == 1,
        SideEffects::NonIdempotent => head.method == Method::POST && keys <= 1,
    };
    if !fits {
        return Err(Fault::Method);
    }
    let encoding = single(headers, TRANSFER_ENCODING.as_str()).map_err(|_| Fault::Encoded)?;
    if encoding.is_some_and(|e| sized || !e.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        return Err(Fault::Encoded);
    }
    single(headers, CONTENT_LENGTH.as_str()).map_err(|_| Fault::Length)?;
    let length = body.size_hint().lower();
    if length > MOST {
        return Err(Fault::TooLong);
    }
    if head.method == Method::GET && (length > 0 || encoding.is_some()) {
        return Err(Fault::Length);
    }
    let left = match single(headers, "x-time-left").map_err(|_| Fault::TimeLeft)? {
        Some(value) => Micros::from_secs(number(value).ok_or(Fault::TimeLeft)?).min(most),
        None => most,
    };
    Ok((id.clone(), left, encoding.is_none().then_some(length)))
}

/// A header that may stand once.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a HeaderValue>, ()> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (first, None) => Ok(first),
        _ => Err(()),
    }
}

/// A number that makes sense as a span or an amount.
pub fn number(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?;
    text.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

#[cfg(test)]
mod tests;
