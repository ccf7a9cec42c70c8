//! Buffered reading from and writing to sockets.

use bytes::{Buf, BufMut, BytesMut};
use std::cell::RefCell;
use tokio::net::TcpStream;

/// Maximum number of bytes of one read.
const READ_BYTES: usize = 16 * 1024;

/// Waits for bytes and appends them to a buffer; returns their number, or 0 at the end of the stream.
pub(crate) async fn fill(tcp: &TcpStream, to: &RefCell<BytesMut>) -> std::io::Result<usize> {
    loop {
        tcp.readable().await?;
        let mut to = to.borrow_mut();
        to.reserve(READ_BYTES);
        match tcp.try_read_buf(&mut (&mut *to).limit(READ_BYTES)) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

/// Writes the whole buffer. Removes the bytes written, even if the future is dropped before it completes.
pub(crate) async fn drain(from: &RefCell<BytesMut>, tcp: &TcpStream) -> std::io::Result<()> {
    while !from.borrow().is_empty() {
        tcp.writable().await?;
        let mut from = from.borrow_mut();
        match tcp.try_write(&from) {
            Ok(count) => from.advance(count),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Ends a connection after its last message: reads and discards what the peer still sends until the peer closes. A
/// close over unread bytes would reset the connection, and the peer could lose the message.
pub(crate) async fn close_after_last_message(tcp: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(tcp).shutdown(std::net::Shutdown::Write)?;
    let discarded = RefCell::<BytesMut>::default();
    while fill(tcp, &discarded).await? > 0 {
        discarded.borrow_mut().clear();
    }
    Ok(())
}
