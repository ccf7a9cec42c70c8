//! What the kernel knows of a client's or a backend's connection: the event loop may not have come round to it yet.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use tokio::net::TcpStream;

/// Something waits to be read, be it bytes, the end of the connection or an error.
pub fn is_readable(tcp: &TcpStream) -> bool {
    !peek(tcp).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Bytes wait that nobody has read.
pub fn has_bytes(tcp: &TcpStream) -> bool {
    matches!(peek(tcp), Ok(count) if count > 0)
}

/// The other side sends no more: it has closed or reset the connection, be it behind bytes that nobody has read.
pub fn is_closed_by_peer(tcp: &TcpStream) -> bool {
    match peek(tcp) {
        Ok(0) => true,
        Ok(_) => has_hung_up(tcp),
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

fn peek(tcp: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(tcp).peek(&mut [std::mem::MaybeUninit::uninit()])
}

/// Whether the other side's end lies behind bytes that are still to be read.
fn has_hung_up(tcp: &TcpStream) -> bool {
    let mut descriptors = [PollFd::new(tcp, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut descriptors, Some(&at_once)).is_ok_and(|ready| ready > 0)
}
