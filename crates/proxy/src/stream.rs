//! A TCP stream under hyper that can also be looked at from outside: how much of a request was written,
//! and whether the other side has closed or sent anything.

use crate::chunks::Chunks;
use crate::queueing_delay::QueueingDelay;
use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

const LENGTH: &[u8] = b"content-length";
const ENCODING: &[u8; 17] = b"transfer-encoding";

/// Shared by hyper's side of the stream and the proxy's.
#[derive(Clone)]
pub struct Stream(Rc<Inner>);

struct Inner {
    tcp: TcpStream,
    /// Bytes of the head's end (CRLF CRLF) matched so far in what was written; 4: the head is out.
    matched: Cell<u8>,
    /// Bytes of the body still to be written after the head.
    body_left: Cell<u64>,
    /// The same of what was read since `mark_idle`, and the bytes that came behind the head.
    came: Cell<u8>,
    behind: Cell<u64>,
    /// When something was first read since the last `mark_idle`.
    heard: Cell<Option<Instant>>,
    /// A line of the head gives a length: hyper hides it where the body is chunked, as another line may say.
    sized: Cell<bool>,
    chunked: Cell<bool>,
    /// The beginning of the line of the head that is being read, and how long the line is.
    line: Cell<([u8; ENCODING.len()], usize)>,
    /// Where in a chunked body what was read ends.
    chunks: Cell<Chunks>,
    /// When something was last read.
    moved: Cell<Instant>,
    /// Since when what is unread can wait, and what was read last could.
    arrivals: QueueingDelay,
    arrived: Cell<std::time::Instant>,
    /// Bytes read and written in all.
    received: Cell<u64>,
    sent: Cell<u64>,
    /// Told at the first of these bytes.
    first: Notify,
    /// Asked before the first byte of a request, as long as none of it is out.
    gate: RefCell<Option<Gate>>,
    /// It said no.
    withheld: Cell<bool>,
}

/// Whether a request may still be sent.
pub type Gate = Box<dyn Fn() -> bool>;

impl Stream {
    /// Of a connection on which nothing can have come before now.
    pub fn new(tcp: TcpStream) -> Stream {
        Stream::accepted(tcp, std::time::Instant::now())
    }

    /// Of a connection that can have been there since then.
    pub fn accepted(tcp: TcpStream, since: std::time::Instant) -> Stream {
        let _ = tcp.set_nodelay(true); // small writes are whole messages here
        Stream(Rc::new(Inner {
            tcp,
            matched: Cell::new(4),
            body_left: Cell::default(),
            came: Cell::default(),
            behind: Cell::default(),
            heard: Cell::default(),
            sized: Cell::default(),
            chunked: Cell::default(),
            line: Cell::default(),
            chunks: Cell::default(),
            moved: Cell::new(Instant::now()),
            arrivals: QueueingDelay::new(since),
            arrived: Cell::new(since),
            received: Cell::default(),
            sent: Cell::default(),
            first: Notify::new(),
            gate: RefCell::default(),
            withheld: Cell::default(),
        }))
    }

    /// From now on counts the bytes of a new request with a body of that size, if it is known. `gate` is asked when
    /// its first byte is about to go out, which is the last moment at which it never ran for certain; where it says
    /// no the write fails and nothing is out.
    pub fn begin_request(&self, body: Option<u64>, gate: Gate) {
        self.0.gate.replace(Some(gate));
        self.0.withheld.set(false);
        self.0.matched.set(0);
        self.0.body_left.set(body.unwrap_or(u64::MAX));
    }

    /// The last byte of the request was written: from then on the backend may run it.
    pub fn request_written(&self) -> bool {
        self.0.matched.get() == 4 && self.0.body_left.get() == 0
    }

    /// Not a byte of the request went out, as its gate said no.
    pub fn withheld(&self) -> bool {
        self.0.withheld.get()
    }

    /// Asks the gate as long as nothing is out. One that said no is asked no more, and let go of: it may hold on to a
    /// client's connection, and this one may be kept for long.
    fn barred(&self) -> bool {
        let s = &self.0;
        if s.gate.borrow().as_ref().is_some_and(|open| !open()) {
            s.withheld.set(true);
            s.gate.take();
        }
        s.withheld.get()
    }

    fn wrote(&self, bytes: &[u8]) {
        let s = &self.0;
        s.gate.take();
        s.sent.set(s.sent.get() + bytes.len() as u64);
        s.body_left.set(s.body_left.get().saturating_sub(behind_head(&s.matched, bytes) as u64));
    }

    fn read(&self, bytes: &[u8]) {
        let s = &self.0;
        let mut behind = if s.came.get() == 4 { bytes.len() } else { self.read_head(bytes) };
        if s.chunked.get() {
            let mut chunks = s.chunks.get();
            behind = chunks.feed(&bytes[bytes.len() - behind..]);
            s.chunks.set(chunks);
        }
        s.behind.set(s.behind.get() + behind as u64);
        s.received.set(s.received.get() + bytes.len() as u64);
        s.moved.set(Instant::now());
        if !bytes.is_empty() && s.heard.get().is_none() {
            s.heard.set(Some(Instant::now()));
            s.first.notify_waiters();
        }
    }

    /// Looks for a length and an encoding among the lines, however the head is cut; the bytes behind it.
    fn read_head(&self, bytes: &[u8]) -> usize {
        let behind = behind_head(&self.0.came, bytes);
        let (mut line, mut length) = self.0.line.get();
        for byte in &bytes[..bytes.len() - behind] {
            if *byte == b'\n' {
                length = 0;
                continue;
            }
            if let Some(place) = line.get_mut(length) {
                *place = byte.to_ascii_lowercase();
            }
            length += 1;
            self.0.sized.set(self.0.sized.get() || length == LENGTH.len() && line.starts_with(LENGTH));
            self.0.chunked.set(self.0.chunked.get() || length == ENCODING.len() && line == *ENCODING);
        }
        self.0.line.set((line, length));
        behind
    }

    /// The head gave a length.
    pub fn sized(&self) -> bool {
        self.0.sized.get()
    }

    pub fn received(&self) -> u64 {
        self.0.received.get()
    }

    pub fn sent(&self) -> u64 {
        self.0.sent.get()
    }

    /// When something was last read.
    pub fn moved(&self) -> Instant {
        self.0.moved.get()
    }

    /// How long ago the last byte that was read can have come at most.
    pub fn age(&self) -> Duration {
        self.0.arrived.get().elapsed()
    }

    /// When the message that is coming began.
    pub fn heard(&self) -> Option<Instant> {
        self.0.heard.get()
    }

    /// More has come than a message with a body of that size, or than one in chunks.
    pub fn surplus(&self, body: u64) -> bool {
        let own = if self.0.chunked.get() { 0 } else { body };
        self.0.behind.get() > own || self.unread()
    }

    /// From now on what comes is a message of its own.
    pub fn mark_idle(&self) {
        self.0.heard.set(None);
        self.0.sized.set(false);
        self.0.chunked.set(false);
        self.0.line.set(Default::default());
        self.0.chunks.set(Chunks::default());
        self.0.came.set(0);
        self.0.behind.set(0);
    }

    /// Until something was read since `mark_idle`.
    pub async fn first_byte(&self) {
        while self.0.heard.get().is_none() {
            self.0.first.notified().await;
        }
    }

    /// Bytes came since `mark_idle`, or wait in the kernel, or the other side has closed.
    pub fn stirred(&self) -> bool {
        self.0.heard.get().is_some() || !self.peek().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// The other side sends no more, by the kernel's word: it has closed or reset the connection, be it behind bytes
    /// that nobody has read. One that only ended its sending counts as gone as well: what it asked for may be answered
    /// to nobody, and the platform's clients end their sending by leaving.
    pub fn left(&self) -> bool {
        match self.peek() {
            Ok(0) => true,
            Ok(_) => hung_up(&self.0.tcp),
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Bytes wait in the kernel that nobody has read.
    pub fn unread(&self) -> bool {
        matches!(self.peek(), Ok(n) if n > 0)
    }

    /// Asks the kernel itself: the event loop may not have come round to it yet.
    fn peek(&self) -> io::Result<usize> {
        socket2::SockRef::from(&self.0.tcp).peek(&mut [std::mem::MaybeUninit::uninit()])
    }
}

/// Whether the other side's end lies behind bytes that are still to be read.
fn hung_up(tcp: &TcpStream) -> bool {
    let mut asked = [PollFd::new(tcp, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut asked, Some(&at_once)).is_ok_and(|ready| ready > 0)
}

/// How many of these bytes lie behind the head's end (CRLF CRLF), of which so many were matched before.
fn behind_head(matched: &Cell<u8>, bytes: &[u8]) -> usize {
    for (at, byte) in bytes.iter().enumerate() {
        if matched.get() == 4 {
            return bytes.len() - at;
        }
        matched.set(match (matched.get(), byte) {
            (n @ (0 | 2), b'\r') | (n @ (1 | 3), b'\n') => n + 1,
            (_, b'\r') => 1,
            _ => 0,
        });
    }
    0
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0u8; 8192];
        let room = buf.remaining().min(chunk.len());
        loop {
            ready!(self.0.arrivals.poll_ready(cx, |cx| self.0.tcp.poll_read_ready(cx)))?;
            let asked = std::time::Instant::now();
            match self.0.tcp.try_read(&mut chunk[..room]) {
                Ok(n) => {
                    self.0.arrived.set(self.0.arrivals.earliest_arrival());
                    if n < room {
                        self.0.arrivals.mark_empty(asked);
                    }
                    self.read(&chunk[..n]);
                    buf.put_slice(&chunk[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.0.arrivals.mark_empty(asked),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.tcp.poll_write_ready(cx))?;
            if self.barred() {
                return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
            }
            match self.0.tcp.try_write(buf) {
                Ok(n) => {
                    self.wrote(&buf[..n]);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
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
