//! How much a peer can have written that has not been sent yet.

use std::sync::LazyLock;

/// The largest send buffer where it is not known: the size to which Linux grows it by default, in bytes.
const DEFAULT_MAX_BYTES: u64 = 4 * 1024 * 1024;
/// The least, default and largest size to which the kernel grows a send buffer by itself.
const SIZES_FILE: &str = "/proc/sys/net/ipv4/tcp_wmem";

static MAX_BYTES: LazyLock<u64> =
    LazyLock::new(|| max_bytes(&std::fs::read_to_string(SIZES_FILE).unwrap_or_default()));

/// Returns the largest send buffer that a peer is taken to have, in bytes: as large as on this machine, as most peers are on
/// it or set up like it, and at least the usual one.
pub(super) fn max_send_buffer_bytes() -> u64 {
    *MAX_BYTES
}

/// Returns the largest of the kernel's three sizes, and the default if that is larger or nothing can be read.
fn max_bytes(sizes: &str) -> u64 {
    let largest: Option<u64> = sizes.split_whitespace().nth(2).and_then(|size| size.parse().ok());
    largest.unwrap_or_default().max(DEFAULT_MAX_BYTES)
}

#[cfg(test)]
mod tests;
