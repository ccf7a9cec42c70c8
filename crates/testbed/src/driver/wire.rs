//! HTTP/1.1 framing (RFC 9112) as far as the stand-ins need it: bodies with a length, one message at a time.

use crate::record::TryId;
use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest head of a message, in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// Longest body of a message, in bytes.
const MAX_BODY: usize = 64 * 1024;
/// Most headers of a message.
const MAX_HEADERS: usize = 48;

/// Why no message could be read.
#[derive(Debug, Error)]
pub enum Fault {
    /// The connection broke, or ended inside a message.
    #[error("connection: {0}")]
    Broken(#[from] std::io::Error),
    /// The bytes are not a message in the supported form.
    #[error("not HTTP/1.1: {0}")]
    Unreadable(&'static str),
}

/// A complete request.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Its `X-Correlation-Id`, if a client of the testbed set it.
    pub id: Option<TryId>,
    pub body: Bytes,
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<f64>,
    /// Whether the connection closes after it.
    pub close: bool,
    pub body: Bytes,
}

/// What a read for the next message returned first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEvent {
    /// Bytes arrived.
    Bytes,
    /// The connection ended or failed.
    End,
}

/// A connection, and the bytes read from it that belong to no message yet.
pub struct Connection {
    pub tcp: TcpStream,
    ahead: BytesMut,
}

struct Fields {
    length: usize,
    id: Option<TryId>,
    retry_after: Option<f64>,
    close: bool,
}

impl Fields {
    fn read(headers: &[httparse::Header]) -> Result<Fields, Fault> {
        let mut fields = Fields { length: 0, id: None, retry_after: None, close: false };
        for h in headers {
            let text = std::str::from_utf8(h.value).unwrap_or_default().trim();
            if h.name.eq_ignore_ascii_case("content-length") {
                fields.length = text.parse().map_err(|_| Fault::Unreadable("a length"))?;
            } else if h.name.eq_ignore_ascii_case("x-correlation-id") {
                fields.id = TryId::parse(h.value);
            } else if h.name.eq_ignore_ascii_case("retry-after") {
                fields.retry_after = text.parse().ok();
            } else if h.name.eq_ignore_ascii_case("connection") {
                fields.close |= text.eq_ignore_ascii_case("close");
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(Fault::Unreadable("an encoding, where a length was expected"));
            }
        }
        if fields.length > MAX_BODY {
            return Err(Fault::Unreadable("a body of over 64 KiB"));
        }
        Ok(fields)
    }
}

impl Connection {
    /// Wraps a connection, and turns Nagle's algorithm off so that small messages are sent at once.
    pub fn new(tcp: TcpStream) -> Connection {
        let _ = tcp.set_nodelay(true);
        Connection { tcp, ahead: BytesMut::with_capacity(2048) }
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.tcp.write_all(bytes).await
    }

    /// Returns whether bytes were read that belong to no message yet.
    pub fn ahead(&self) -> bool {
        !self.ahead.is_empty()
    }

    /// Returns whether bytes have arrived or the connection has ended, without waiting.
    pub fn poll_read(&mut self) -> Option<ReadEvent> {
        if self.ahead() {
            return Some(ReadEvent::Bytes);
        }
        match self.tcp.try_read_buf(&mut self.ahead) {
            Ok(0) => Some(ReadEvent::End),
            Ok(_) => Some(ReadEvent::Bytes),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => None,
            Err(_) => Some(ReadEvent::End),
        }
    }

    /// Waits until bytes arrive or the connection ends.
    pub async fn wait_read(&mut self) -> ReadEvent {
        if self.ahead() {
            return ReadEvent::Bytes;
        }
        match self.tcp.read_buf(&mut self.ahead).await {
            Ok(n) if n > 0 => ReadEvent::Bytes,
            _ => ReadEvent::End,
        }
    }

    async fn read_more(&mut self) -> Result<(), Fault> {
        if self.tcp.read_buf(&mut self.ahead).await? == 0 {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
        }
        Ok(())
    }

    async fn body(&mut self, head: usize, length: usize) -> Result<Bytes, Fault> {
        self.ahead.advance(head);
        while self.ahead.len() < length {
            self.read_more().await?;
        }
        Ok(self.ahead.split_to(length).freeze())
    }

    /// Waits for the head of the next request and returns its target and id. No bytes of it are taken. Returns `None` where
    /// the connection ended or the bytes are not a request.
    pub async fn next_target(&mut self) -> Option<(String, Option<TryId>)> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            if head.parse(&self.ahead).ok()?.is_complete() {
                let mut ids = head.headers.iter().filter(|h| h.name.eq_ignore_ascii_case("x-correlation-id"));
                let id = ids.next().and_then(|header| TryId::parse(header.value));
                return Some((head.path.unwrap_or_default().into(), id));
            }
            if self.ahead.len() > MAX_HEAD {
                return None;
            }
            self.read_more().await.ok()?;
        }
    }

    /// Reads the next request; `None` where the connection ended between two requests.
    pub async fn request(&mut self) -> Result<Option<Request>, Fault> {
        if !self.ahead() && self.wait_read().await == ReadEvent::End {
            return Ok(None);
        }
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            let parsed = head.parse(&self.ahead).map_err(|_| Fault::Unreadable("a request's head"))?;
            if let httparse::Status::Complete(length) = parsed {
                let fields = Fields::read(head.headers)?;
                let (method, target) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
                let (method, target) = (method.to_string(), target.to_string());
                let body = self.body(length, fields.length).await?;
                return Ok(Some(Request { method, target, id: fields.id, body }));
            }
            if self.ahead.len() > MAX_HEAD {
                return Err(Fault::Unreadable("a head of over 32 KiB"));
            }
            self.read_more().await?;
        }
    }

    /// Reads the answer to the request that was written.
    pub async fn answer(&mut self) -> Result<Answer, Fault> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let parsed = head.parse(&self.ahead).map_err(|_| Fault::Unreadable("an answer's head"))?;
            if let httparse::Status::Complete(length) = parsed {
                let fields = Fields::read(head.headers)?;
                let status = head.code.unwrap_or_default();
                let body = self.body(length, fields.length).await?;
                return Ok(Answer { status, retry_after: fields.retry_after, close: fields.close, body });
            }
            if self.ahead.len() > MAX_HEAD {
                return Err(Fault::Unreadable("a head of over 32 KiB"));
            }
            self.read_more().await?;
        }
    }
}

/// Opens a listening socket; `None` picks a free port of 127.0.0.1.
pub fn listen(at: Option<std::net::SocketAddr>) -> std::io::Result<tokio::net::TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at.unwrap_or_else(|| ([127, 0, 0, 1], 0).into()))?;
    socket.listen(1024)
}

/// A port that is bound without listening: the kernel gives it to no other socket, connections to it are refused,
/// and a socket with `SO_REUSEADDR` can be bound to it to listen, any number of times.
pub struct Reserved(socket2::Socket, std::net::SocketAddr);

impl Reserved {
    /// Reserves that port of 127.0.0.1, or one that the kernel chooses.
    ///
    /// # Errors
    /// When another socket uses the port.
    pub fn bind(port: Option<u16>) -> std::io::Result<Reserved> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], port.unwrap_or(0))).into())?;
        let at = socket.local_addr()?.as_socket().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
        Ok(Reserved(socket, at))
    }

    /// Returns the reserved address.
    pub fn address(&self) -> std::net::SocketAddr {
        debug_assert!(self.0.local_addr().is_ok());
        self.1
    }
}
