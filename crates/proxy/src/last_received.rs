//! When the kernel last received data on a TCP connection, also while it waited in the queue of the listener.

#[cfg(test)]
mod tests;

use std::mem::{offset_of, size_of};
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// The length of the kernel's `struct tcp_info`, as far as it is read here.
const TCP_INFO_LEN: usize = size_of::<libc::tcp_info>();
/// The position of the field with the time since the last data was received, in milliseconds.
const LAST_DATA_RECEIVED: usize = offset_of!(libc::tcp_info, tcpi_last_data_recv);

/// Returns the time since the last data from the peer arrived, or since the connection was established if there was
/// none. Returns `None` if the kernel does not report it; a kernel that is emulated may report zero.
pub(crate) fn time_since_last_data(socket: &impl AsFd) -> Option<Duration> {
    let info = tcp_info(socket)?;
    let field = info.get(LAST_DATA_RECEIVED..)?.first_chunk::<4>()?;
    Some(Duration::from_millis(u32::from_ne_bytes(*field).into()))
}

fn tcp_info(socket: &impl AsFd) -> Option<[u8; TCP_INFO_LEN]> {
    let mut info = [0; TCP_INFO_LEN];
    let mut length = TCP_INFO_LEN as libc::socklen_t;
    // SAFETY: the descriptor is open while it is borrowed, `info` is writable for `length` bytes, and the kernel writes at
    // most that many. Any bytes are valid for an array of bytes.
    #[allow(unsafe_code)]
    let status = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    let is_filled = status == 0 && length as usize >= LAST_DATA_RECEIVED + size_of::<u32>();
    is_filled.then_some(info)
}
