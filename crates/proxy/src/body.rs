//! Bounds and terms that bodies in both directions share.

/// A body of at most so many bytes is buffered completely: it can be sent again.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// The largest body in either direction, in bytes.
pub(crate) const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;

/// The error of a body that hyper sends.
pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;
