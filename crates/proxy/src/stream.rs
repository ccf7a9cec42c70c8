//! A TCP stream under hyper that can also be observed from outside: how much of a request was written, and whether the
//! other side has closed or sent anything.

mod head;
mod incoming;
mod outgoing;

use crate::queueing_delay::QueueingDelay;
use hyper::rt::{Read, ReadBufCursor, Write};
use incoming::IncomingMessage;
use lotusdeck_core::socket_state;
use outgoing::OutgoingRequest;
pub(crate) use outgoing::SendGate;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Bytes that one read takes at most.
const READ_BYTES: usize = 8192;

/// Shared by hyper's side of the stream and the proxy's.
#[derive(Clone)]
pub(crate) struct Stream(Rc<Inner>);

struct Inner {
    tcp: TcpStream,
    outgoing: OutgoingRequest,
    incoming: IncomingMessage,
    /// Since when what is unread can wait.
    queueing_delay: QueueingDelay,
    /// Since when what was read last could wait before.
    last_read_arrived_at: Cell<std::time::Instant>,
}

impl Stream {
    /// Of a connection on which nothing can have come before now.
    pub(crate) fn new(tcp: TcpStream) -> Stream {
        Stream::accepted(tcp, std::time::Instant::now())
    }

    /// Of a connection that can have been there since then.
    pub(crate) fn accepted(tcp: TcpStream, since: std::time::Instant) -> Stream {
        let _ = tcp.set_nodelay(true); // small writes are complete messages here
        Stream(Rc::new(Inner {
            tcp,
            outgoing: OutgoingRequest::new(),
            incoming: IncomingMessage::new(),
            queueing_delay: QueueingDelay::new(since),
            last_read_arrived_at: Cell::new(since),
        }))
    }

    /// From now on counts the bytes of a new request with a body of that size, if it is known. `gate` is asked when
    /// its first byte is about to go out, which is the last moment at which it is certain not to have run; where it
    /// says no the write fails and nothing is out.
    pub(crate) fn begin_request(&self, body_bytes: Option<u64>, gate: SendGate) {
        self.0.outgoing.begin(body_bytes, gate);
    }

    /// The last byte of the request was written: from then on the backend may run it.
    pub(crate) fn is_request_written(&self) -> bool {
        self.0.outgoing.is_written()
    }

    /// Not a byte of the request went out, as its gate said no.
    pub(crate) fn is_request_withheld(&self) -> bool {
        self.0.outgoing.is_withheld()
    }

    /// The head that was read last has a header that gives the length of the body, be it one that hyper hides.
    pub(crate) fn has_content_length(&self) -> bool {
        self.0.incoming.has_content_length()
    }

    /// Bytes read so far.
    pub(crate) fn bytes_received(&self) -> u64 {
        self.0.incoming.total_bytes()
    }

    /// Bytes written so far.
    pub(crate) fn bytes_sent(&self) -> u64 {
        self.0.outgoing.total_bytes()
    }

    /// When something was last read.
    pub(crate) fn last_read_at(&self) -> Instant {
        self.0.incoming.last_read_at()
    }

    /// How long ago the last byte that was read can have come at most.
    pub(crate) fn time_since_arrival(&self) -> Duration {
        self.0.last_read_arrived_at.get().elapsed()
    }

    /// When the message that is coming began.
    pub(crate) fn message_started_at(&self) -> Option<Instant> {
        self.0.incoming.started_at()
    }

    /// More has come than a message with a body of that size has, or than a chunked one has.
    pub(crate) fn has_excess_bytes(&self, body_bytes: u64) -> bool {
        self.0.incoming.has_excess_bytes(body_bytes) || self.has_kernel_bytes()
    }

    /// From now on what comes is a new message.
    pub(crate) fn mark_idle(&self) {
        self.0.incoming.reset();
    }

    /// Ends once something was read since `mark_idle`.
    pub(crate) async fn wait_for_first_byte(&self) {
        self.0.incoming.wait_for_start().await;
    }

    /// Bytes came since `mark_idle`, or wait in the kernel, or the other side has closed.
    pub(crate) fn has_unread_data(&self) -> bool {
        self.message_started_at().is_some() || socket_state::is_readable(&self.0.tcp)
    }

    /// The other side sends no more, by the kernel's account. One that only ended its sending counts as closed as well:
    /// what it asked for may be answered to nobody, and the platform's clients end their sending by leaving.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        socket_state::is_closed_by_peer(&self.0.tcp)
    }

    /// Bytes wait in the kernel that nobody has read.
    pub(crate) fn has_kernel_bytes(&self) -> bool {
        socket_state::has_bytes(&self.0.tcp)
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
                    inner.last_read_arrived_at.set(inner.queueing_delay.earliest_arrival());
                    if count < max_bytes {
                        inner.queueing_delay.mark_empty(read_at);
                    }
                    inner.incoming.record(&chunk[..count]);
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
            ready!(inner.tcp.poll_write_ready(cx))?;
            if !inner.outgoing.check_gate() {
                return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
            }
            match inner.tcp.try_write(buf) {
                Ok(count) => {
                    inner.outgoing.record(&buf[..count]);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.tcp).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
