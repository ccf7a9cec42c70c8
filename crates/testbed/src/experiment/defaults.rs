//! Default values of keys that a table of an experiment may omit. Tables that may be omitted as a whole have
//! their defaults in `format`.

/// Returns the seed of all random draws.
pub(super) fn seed() -> u64 {
    1
}

/// Returns the number of proxies that share the traffic.
pub(super) fn proxies() -> usize {
    3
}

/// Returns a single zone.
pub(super) fn zones() -> Vec<String> {
    vec!["east".into()]
}

/// Returns a factor of one, one core, or one unit of worth.
pub(super) fn one() -> f64 {
    1.0
}

/// Returns the number of requests that run at the same time, and that may wait.
pub(super) fn slots() -> usize {
    16
}

/// Returns the size of an answer, bytes.
pub(super) fn answer_bytes() -> usize {
    512
}

/// Returns the size of a request's body, bytes.
pub(super) fn body_bytes() -> usize {
    200
}

/// Returns the largest number of connections of a machine.
pub(super) fn connections() -> u32 {
    256
}

/// Returns the work of a new connection, core-ms.
pub(super) fn handshake_ms() -> f64 {
    1.0
}

/// Returns the number of keys in a machine's cache.
pub(super) fn keys() -> usize {
    1000
}
