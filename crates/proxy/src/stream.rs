//! A TCP stream for hyper that can also be observed from outside: how much of a request was written, and whether
//! the peer has closed or sent anything.

mod flushes;
mod head;
mod incoming;
mod outgoing;
mod read_history;
mod send_buffer;
mod transfer;
mod write_bound;

use crate::last_received::time_since_last_data;
use crate::queueing_delay::QueueingDelay;
use flushes::Flushes;
use incoming::IncomingMessage;
use lotusdeck_core::socket_state;
use outgoing::OutgoingRequest;
pub(crate) use outgoing::SendGate;
use send_buffer::max_send_buffer_bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use write_bound::WriteBound;

/// What is known of the last byte of an incoming message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LastByte {
    /// The peer may have written it, at the given time at the earliest.
    Written { since: std::time::Instant },
    /// The peer cannot have written it: the buffers have no room for so much, as too little is read.
    Unwritten,
    /// It has not arrived, although all that has arrived was read.
    NotArrived,
}

/// A TCP stream whose clones are shared by hyper and the proxy.
#[derive(Clone)]
pub(crate) struct Stream(Rc<Inner>);

struct Inner {
    tcp: TcpStream,
    outgoing: OutgoingRequest,
    incoming: IncomingMessage,
    flushes: Flushes,
    /// Tracks the earliest time at which unread bytes can have arrived.
    queueing_delay: QueueingDelay,
    /// Tracks the earliest time at which unread bytes can have been written.
    write_bound: WriteBound,
    /// Since when a write has waited for the peer to read.
    write_blocked_since: Cell<Option<Instant>>,
    /// The earliest time at which the bytes that were read last can have been written.
    last_read_written_at: Cell<std::time::Instant>,
}

impl Inner {
    /// Returns the earliest time at which unread bytes can have been written.
    fn earliest_write(&self) -> std::time::Instant {
        self.write_bound.earliest_write(self.queueing_delay.earliest_arrival(), self.incoming.total_bytes())
    }
}

impl Stream {
    /// Creates the stream of a connection on which nothing can have arrived before now.
    pub(crate) fn new(tcp: TcpStream) -> Stream {
        Stream::accepted(tcp, std::time::Instant::now())
    }

    /// Creates the stream of an accepted connection that can have been in the queue since `since`.
    pub(crate) fn accepted(tcp: TcpStream, since: std::time::Instant) -> Stream {
        let _ = tcp.set_nodelay(true); // small writes are complete messages here
        Stream(Rc::new(Inner {
            tcp,
            outgoing: OutgoingRequest::new(),
            incoming: IncomingMessage::new(),
            flushes: Flushes::default(),
            queueing_delay: QueueingDelay::new(since),
            write_bound: WriteBound::new(since),
            write_blocked_since: Cell::default(),
            last_read_written_at: Cell::new(since),
        }))
    }

    /// Begins a new request with a body of `body_bytes` bytes, if that is known. `gate` is called when the first
    /// byte is about to be written, the last moment at which the request is certain not to have run; if it returns
    /// false the write fails and nothing is sent.
    pub(crate) fn begin_request(&self, body_bytes: Option<u64>, gate: SendGate) {
        self.0.outgoing.begin(body_bytes, gate);
    }

    /// Returns whether the last byte of the request was written: from then on the backend may run it.
    pub(crate) fn is_request_written(&self) -> bool {
        self.0.outgoing.is_written()
    }

    /// Returns whether the gate withheld the request, so that none of it was sent.
    pub(crate) fn is_request_withheld(&self) -> bool {
        self.0.outgoing.is_withheld()
    }

    /// Returns whether the head that was read last gives the length of the body, even if hyper hides it.
    pub(crate) fn has_content_length(&self) -> bool {
        self.0.incoming.has_content_length()
    }

    /// Returns the number of bytes read so far.
    pub(crate) fn bytes_received(&self) -> u64 {
        self.0.incoming.total_bytes()
    }

    /// Returns the number of bytes written so far.
    pub(crate) fn bytes_sent(&self) -> u64 {
        self.0.outgoing.total_bytes()
    }

    /// Returns for how long a write has waited for the peer to read; zero if none waits.
    pub(crate) fn write_blocked_for(&self, now: Instant) -> Duration {
        self.0.write_blocked_since.get().map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns how often all bytes that hyper buffered had been written.
    pub(crate) fn flush_count(&self) -> u64 {
        self.0.flushes.count()
    }

    /// Polls until all bytes that hyper buffered have been written more than `count` times.
    pub(crate) fn poll_flushed(&self, count: u64, cx: &Context<'_>) -> Poll<()> {
        self.0.flushes.poll_more_than(count, cx)
    }

    /// Returns when something was last read.
    pub(crate) fn last_read_at(&self) -> Instant {
        self.0.incoming.last_read_at()
    }

    /// Returns when the last byte that was read arrived, as the kernel knows it, or else when it was read. Bytes that wait
    /// unread count as well, so the caller looks for these.
    pub(crate) fn last_data_at(&self, now: Instant) -> Instant {
        let last_read_at = self.last_read_at();
        // What an emulated kernel reports may be wrong, but not by more than what is known here.
        let longest = self.last_read_written_at().elapsed();
        let Some(age) = time_since_last_data(&self.0.tcp) else { return last_read_at };
        now.checked_sub(age.min(longest)).map_or(last_read_at, |arrived_at| arrived_at.min(last_read_at))
    }

    /// Returns the earliest time at which the peer can have written the last byte that was read.
    pub(crate) fn last_read_written_at(&self) -> std::time::Instant {
        self.0.last_read_written_at.get()
    }

    /// Returns what is known of the last byte of the message. `length` is the length of the message's body, if its head
    /// gives it.
    pub(crate) fn last_byte(&self, length: Option<u64>) -> LastByte {
        if self.0.incoming.is_read_completely(length) {
            return LastByte::Written { since: self.last_read_written_at() };
        }
        let checked_at = std::time::Instant::now();
        if !self.has_kernel_bytes() {
            self.0.queueing_delay.mark_empty(checked_at);
            return LastByte::NotArrived;
        }
        let missing = length.map_or(0, |length| self.0.incoming.bytes_missing(length));
        let unread = socket_state::unread_bytes(&self.0.tcp).unwrap_or(u64::MAX);
        if missing > unread.saturating_add(max_send_buffer_bytes()) {
            self.0.write_bound.record_unwritten(checked_at);
            return LastByte::Unwritten;
        }
        LastByte::Written { since: self.0.earliest_write() }
    }

    /// Returns when the first byte of the incoming message was read; `None` before that.
    pub(crate) fn message_started_at(&self) -> Option<Instant> {
        self.0.incoming.started_at()
    }

    /// Returns whether more bytes have arrived than belong to the message. `body_bytes` is the size of its body,
    /// which is ignored for a chunked one.
    pub(crate) fn has_excess_bytes(&self, body_bytes: u64) -> bool {
        self.0.incoming.has_excess_bytes(body_bytes) || self.has_kernel_bytes()
    }

    /// Treats the bytes that are read from now on as a new message.
    pub(crate) fn mark_idle(&self) {
        self.0.incoming.reset();
    }

    /// Waits until something was read since `mark_idle`.
    pub(crate) async fn wait_for_first_byte(&self) {
        self.0.incoming.wait_for_start().await;
    }

    /// Waits until more is read from now on.
    pub(crate) async fn wait_for_more(&self) {
        self.0.incoming.wait_for_more().await;
    }

    /// Returns whether bytes were read since `mark_idle` or wait in the kernel, or the peer has closed.
    pub(crate) fn has_unread_data(&self) -> bool {
        self.message_started_at().is_some() || socket_state::is_readable(&self.0.tcp)
    }

    /// Returns whether the peer sends no more, according to the kernel. A peer that only shut down its sending side
    /// counts as closed as well: its answer may have no reader, and the platform's clients shut down sending only when
    /// they disconnect.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        socket_state::is_closed_by_peer(&self.0.tcp)
    }

    /// Returns whether the peer has closed, or may have closed behind more than `max_unread` unread bytes.
    pub(crate) fn may_be_closed_by_peer(&self, max_unread: u64) -> bool {
        socket_state::may_be_closed_by_peer(&self.0.tcp, max_unread)
    }

    /// Sets whether the connection is reset when it closes, upon which the peer gets an error in place of its end.
    pub(crate) fn reset_on_close(&self, is_reset: bool) {
        let linger = is_reset.then_some(Duration::ZERO);
        let _ = socket2::SockRef::from(&self.0.tcp).set_linger(linger); // fails on no connected socket
    }

    /// Returns whether unread bytes wait in the kernel.
    pub(crate) fn has_kernel_bytes(&self) -> bool {
        socket_state::has_bytes(&self.0.tcp)
    }
}

#[cfg(test)]
mod tests;
