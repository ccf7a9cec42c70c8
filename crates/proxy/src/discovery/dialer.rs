//! Connections to discovery.

use super::pacing::CONNECT_TIMEOUT;
use crate::stream::Stream;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use std::cell::Cell;
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};

/// A connection of a completed poll, which can be reused.
pub(super) struct IdleConnection {
    pub sender: http1::SendRequest<Empty<Bytes>>,
    pub driver: http1::Connection<Stream, Empty<Bytes>>,
}

impl IdleConnection {
    pub(super) fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Opens connections, and keeps the socket of the next one in reserve: when clients use up the file descriptors, the
/// one freed by a broken poll could otherwise be taken before the next poll is opened.
#[derive(Default)]
pub(super) struct Dialer {
    spare: Cell<Option<TcpSocket>>,
}

impl Dialer {
    /// Creates the reserve socket if there is none. Must be called whenever a descriptor may have been freed, in the
    /// same turn of the event loop.
    pub(super) fn refill(&self) {
        let spare = self.spare.take().or_else(|| TcpSocket::new_v4().ok());
        self.spare.set(spare);
    }

    pub(super) async fn dial(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = match self.spare.take() {
            Some(spare) if address.is_ipv4() => spare,
            spare => {
                self.spare.set(spare);
                if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?
            }
        };
        self.refill();
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
        connected.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
    }
}
