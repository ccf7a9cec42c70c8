//! Reads and writes of hyper on a stream.

use super::{Inner, Stream};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::time::Instant;

/// Maximum number of bytes that one read returns. hyper doubles its buffer of 8 KiB after a read that fills it.
const READ_BYTES: usize = 8 * 1024 - 1;
/// Maximum number of bytes that are written at once if they come from several buffers.
const GATHERED_BYTES: usize = 8 * 1024;

/// Copies the beginning of `buffers` to `gathered` and returns the number of bytes.
fn gather(buffers: &[io::IoSlice<'_>], gathered: &mut [u8]) -> usize {
    let mut count = 0;
    for buffer in buffers {
        let copied = buffer.len().min(gathered.len() - count);
        gathered[count..count + copied].copy_from_slice(&buffer[..copied]);
        count += copied;
    }
    count
}

impl Inner {
    /// Polls until a write may succeed, and records since when it has to wait.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ready = self.tcp.poll_write_ready(cx);
        if ready.is_pending() && self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(Instant::now()));
        }
        ready
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &self.0;
        let mut chunk = [0u8; READ_BYTES];
        let max_bytes = buf.remaining().min(chunk.len());
        loop {
            ready!(inner.queueing_delay.poll_ready(cx, |cx| inner.tcp.poll_read_ready(cx)))?;
            let read_at = std::time::Instant::now();
            match inner.tcp.try_read(&mut chunk[..max_bytes]) {
                Ok(count) => {
                    inner.last_read_written_at.set(inner.earliest_write());
                    if count < max_bytes {
                        inner.queueing_delay.mark_empty(read_at);
                    }
                    inner.incoming.record(&chunk[..count]);
                    inner.write_bound.record_read(read_at, count, inner.incoming.total_bytes());
                    buf.put_slice(&chunk[..count]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    inner.queueing_delay.mark_empty(read_at);
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Write for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let inner = &self.0;
        loop {
            ready!(inner.poll_write_ready(cx))?;
            if !inner.outgoing.check_gate() {
                return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
            }
            match inner.tcp.try_write(buf) {
                Ok(count) => {
                    inner.write_blocked_since.set(None);
                    inner.outgoing.record(&buf[..count]);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Tells hyper to queue bodies as they are. It would copy them into a buffer of the connection otherwise, which keeps
    /// the size of the largest one for as long as the connection lives.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut filled = buffers.iter().filter(|buffer| !buffer.is_empty());
        let Some(first) = filled.next() else { return Poll::Ready(Ok(0)) };
        if first.len() >= GATHERED_BYTES || filled.next().is_none() {
            return self.poll_write(cx, first);
        }
        let mut gathered = [0u8; GATHERED_BYTES];
        let count = gather(buffers, &mut gathered);
        self.poll_write(cx, &gathered[..count])
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.flushes.record();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.tcp).shutdown(std::net::Shutdown::Write))
    }
}
