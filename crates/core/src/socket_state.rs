//! Queries the kernel for the state of a client's or a backend's connection, which the event loop may not have seen
//! yet.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use tokio::net::TcpStream;

/// Returns whether there is something to read: bytes, the end of the connection or an error.
pub fn is_readable(tcp: &TcpStream) -> bool {
    !peek(tcp).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether there are unread bytes.
pub fn has_bytes(tcp: &TcpStream) -> bool {
    matches!(peek(tcp), Ok(count) if count > 0)
}

/// Returns the number of unread bytes; `None` if the kernel does not tell.
pub fn unread_bytes(tcp: &TcpStream) -> Option<u64> {
    rustix::io::ioctl_fionread(tcp).ok()
}

/// Returns whether the peer has closed its side of the connection or reset it, even if unread bytes come before the
/// end.
pub fn is_closed_by_peer(tcp: &TcpStream) -> bool {
    may_be_closed_by_peer(tcp, u64::MAX)
}

/// Returns whether the peer has closed its side of the connection or reset it, or may have closed it behind more than
/// `max_unread` unread bytes: an end behind so many may not have been received.
pub fn may_be_closed_by_peer(tcp: &TcpStream, max_unread: u64) -> bool {
    match peek(tcp) {
        Ok(0) => true,
        Ok(_) => has_hung_up(tcp) || has_unread_beyond(tcp, max_unread),
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Returns whether more than `limit` bytes are unread; false if the kernel does not tell.
fn has_unread_beyond(tcp: &TcpStream, limit: u64) -> bool {
    limit < u64::MAX && unread_bytes(tcp).is_some_and(|unread| unread > limit)
}

fn peek(tcp: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(tcp).peek(&mut [std::mem::MaybeUninit::uninit()])
}

/// Returns whether the peer has closed its side of the connection; there may be unread bytes before the end.
fn has_hung_up(tcp: &TcpStream) -> bool {
    let mut descriptors = [PollFd::new(tcp, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut descriptors, Some(&at_once)).is_ok_and(|ready| ready > 0)
}
