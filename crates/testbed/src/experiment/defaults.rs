//! What holds where an experiment leaves out a key of a table that it writes. Tables that may be left out whole have
//! their defaults beside them in `format`.

/// Seed of all draws.
pub(super) fn seed() -> u64 {
    1
}

/// Proxies that share the traffic.
pub(super) fn proxies() -> usize {
    3
}

/// One zone for all.
pub(super) fn zones() -> Vec<String> {
    vec!["east".into()]
}

/// A multiple that changes nothing, one core, or one unit of worth.
pub(super) fn one() -> f64 {
    1.0
}

/// Requests that run at once, and that wait.
pub(super) fn slots() -> usize {
    16
}

/// Bytes of an answer.
pub(super) fn answer_bytes() -> usize {
    512
}

/// Bytes of a request's body.
pub(super) fn body_bytes() -> usize {
    200
}

/// Connections that a machine holds.
pub(super) fn connections() -> u32 {
    256
}

/// Work of a new connection, core-ms.
pub(super) fn handshake_ms() -> f64 {
    1.0
}

/// Keys that a machine remembers.
pub(super) fn keys() -> usize {
    1000
}
