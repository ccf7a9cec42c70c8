//! Limits and types shared by the bodies of requests and answers.

/// The largest body that is buffered completely and can be sent again, in bytes.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// The largest body in either direction, in bytes.
pub(crate) const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;

/// The error type of the bodies that hyper sends.
pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;
