//! The clients' listening socket where the platform holds it, so that it outlives each version of the program.

use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use thiserror::Error;

/// Names the descriptor of the listening socket that this process has inherited.
const VARIABLE: &str = "NODE_SOCKET_FD";
/// The highest descriptor of the standard streams.
const STDERR: RawFd = 2;

/// Why the socket named cannot be used.
#[derive(Debug, Error)]
pub enum ListenerHandoverError {
    /// The variable names no descriptor that could be handed over.
    #[error("{VARIABLE}: expected the number of a descriptor above 2, got {0:?}")]
    NoNumber(String),
    /// The descriptor is not open.
    #[error("{VARIABLE}: descriptor {0} is not open")]
    NotOpen(RawFd),
    /// The descriptor is something else.
    #[error("{VARIABLE}: descriptor {0} is no listening TCP socket")]
    NotListening(RawFd),
    /// The socket cannot be set up.
    #[error("{VARIABLE}: descriptor {descriptor}: {source}")]
    Unusable {
        /// Its descriptor.
        descriptor: RawFd,
        /// Why.
        source: std::io::Error,
    },
}

/// The inherited listener; `None` where none is named. To be called once, before anything else is opened.
///
/// # Errors
/// A socket is named that cannot be used.
pub fn inherited_listener() -> Result<Option<TcpListener>, ListenerHandoverError> {
    let Some(text) = std::env::var(VARIABLE).ok().filter(|text| !text.is_empty()) else { return Ok(None) };
    let descriptor = text.parse().ok().filter(|descriptor: &RawFd| *descriptor > STDERR);
    let descriptor = descriptor.ok_or(ListenerHandoverError::NoNumber(text))?;
    if !std::path::Path::new(&format!("/proc/self/fd/{descriptor}")).exists() {
        return Err(ListenerHandoverError::NotOpen(descriptor));
    }
    // SAFETY: the descriptor is open, and by the platform's contract it is this process's to own: it was handed down at
    // the start for this purpose, and nothing else in the program refers to it.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let socket = socket2::Socket::from(owned);
    let is_internet = socket.local_addr().is_ok_and(|address| address.as_socket().is_some());
    if !is_internet || !socket.is_listener().unwrap_or(false) {
        return Err(ListenerHandoverError::NotListening(descriptor));
    }
    let set_up = socket.set_nonblocking(true).and_then(|()| socket.set_cloexec(true));
    set_up.map_err(|source| ListenerHandoverError::Unusable { descriptor, source })?;
    Ok(Some(socket.into()))
}
