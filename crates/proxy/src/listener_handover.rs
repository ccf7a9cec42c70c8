//! The clients' listening socket, inherited if the platform keeps it open across versions of the program.

use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use thiserror::Error;

/// The environment variable that holds the descriptor of the inherited listening socket.
const VARIABLE: &str = "NODE_SOCKET_FD";
/// The highest descriptor of the standard streams.
const STDERR: RawFd = 2;

/// The reason for which the inherited socket cannot be used.
#[derive(Debug, Error)]
pub enum ListenerHandoverError {
    /// The variable does not hold the number of a descriptor above the standard streams.
    #[error("{VARIABLE}: expected the number of a descriptor above 2, got {0:?}")]
    InvalidDescriptor(String),
    /// The descriptor is not open.
    #[error("{VARIABLE}: descriptor {0} is not open")]
    NotOpen(RawFd),
    /// The descriptor is not a listening TCP socket.
    #[error("{VARIABLE}: descriptor {0} is no listening TCP socket")]
    NotListening(RawFd),
    /// The socket cannot be set up.
    #[error("{VARIABLE}: descriptor {descriptor}: {source}")]
    Unusable {
        /// Its descriptor.
        descriptor: RawFd,
        /// The cause.
        source: std::io::Error,
    },
}

/// Returns the inherited listener, or `None` if the variable is unset or empty. Must be called once, before
/// anything else is opened.
///
/// # Errors
/// Returns an error if the variable is set but its socket cannot be used.
pub fn inherited_listener() -> Result<Option<TcpListener>, ListenerHandoverError> {
    let Some(text) = std::env::var(VARIABLE).ok().filter(|text| !text.is_empty()) else { return Ok(None) };
    let descriptor = text.parse().ok().filter(|descriptor: &RawFd| *descriptor > STDERR);
    let descriptor = descriptor.ok_or(ListenerHandoverError::InvalidDescriptor(text))?;
    if !std::path::Path::new(&format!("/proc/self/fd/{descriptor}")).exists() {
        return Err(ListenerHandoverError::NotOpen(descriptor));
    }
    // SAFETY: the descriptor is open, and by the platform's contract this process owns it: it was passed to the process
    // at its start for this purpose, and nothing else in the program refers to it.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let socket = socket2::Socket::from(owned);
    let is_ip_socket = socket.local_addr().is_ok_and(|address| address.as_socket().is_some());
    if !is_ip_socket || !socket.is_listener().unwrap_or(false) {
        return Err(ListenerHandoverError::NotListening(descriptor));
    }
    let configured = socket.set_nonblocking(true).and_then(|()| socket.set_cloexec(true));
    configured.map_err(|source| ListenerHandoverError::Unusable { descriptor, source })?;
    Ok(Some(socket.into()))
}
