//! A blocking HTTP client on one connection.

use super::message::Message;
use super::TEST_TIMEOUT;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A blocking HTTP client on one connection.
pub(crate) struct Client(pub BufReader<TcpStream>);

impl Client {
    pub(crate) fn connect(to: SocketAddr) -> Client {
        let tcp = TcpStream::connect(to).unwrap();
        tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client(BufReader::new(tcp))
    }
    pub(crate) fn send(&mut self, request: &str) {
        self.0.get_mut().write_all(request.as_bytes()).unwrap();
    }
    pub(crate) fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }
    pub(crate) fn ask(&mut self, request: &str) -> Message {
        self.send(request);
        self.answer().expect("a complete answer")
    }
    /// Waits for the end of the connection and returns whether it ended, or failed, without a further byte.
    pub(crate) fn ended(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}
