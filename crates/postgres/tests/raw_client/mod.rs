//! A client that sends scripted messages, in sequences and pieces that no driver produces.

#![allow(dead_code)]

use crate::rig::Rig;
use bytes::{BufMut, BytesMut};
use lotusdeck_postgres::wire::{message, put, Message};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The type and the body of a message.
pub(crate) type RawMessage = (u8, &'static [u8]);

/// Binds the unnamed statement to the unnamed portal.
pub(crate) const BIND: RawMessage = (b'B', b"\0\0\0\0\0\0\0\0");
/// Executes the unnamed portal.
pub(crate) const EXECUTE: RawMessage = (b'E', b"\0\0\0\0\0");
pub(crate) const SYNC: RawMessage = (b'S', b"");
pub(crate) const INSERT: RawMessage = (b'Q', b"insert\0");

/// A client that sends scripted messages.
pub(crate) struct RawClient {
    pub tcp: TcpStream,
    input: BytesMut,
}

impl RawClient {
    pub(crate) async fn connect(rig: &Rig) -> RawClient {
        RawClient { tcp: TcpStream::connect(rig.address).await.unwrap(), input: BytesMut::new() }
    }

    pub(crate) async fn log_in(rig: &Rig) -> RawClient {
        let mut raw = RawClient::connect(rig).await;
        let start = b"\0\x03\0\0user\0ann\0database\0scores\0\0";
        let mut packet = BytesMut::new();
        packet.put_u32(start.len() as u32 + 4);
        packet.put_slice(start);
        raw.write(&packet).await;
        assert_eq!(raw.receive().await.unwrap().0, b'R');
        let mut scram = ScramSha256::new(b"do re mi", ChannelBinding::unsupported());
        let first = scram.message().to_vec();
        let initial = [b"SCRAM-SHA-256\0".as_ref(), &(first.len() as u32).to_be_bytes(), &first].concat();
        raw.send(&[(b'p', &initial)]).await;
        scram.update(&raw.receive().await.unwrap().1[4..]).unwrap();
        let last = scram.message().to_vec();
        raw.send(&[(b'p', &last)]).await;
        raw.receive_until(b'Z').await;
        raw
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) {
        self.tcp.write_all(bytes).await.unwrap();
    }

    pub(crate) async fn send(&mut self, messages: &[(u8, &[u8])]) {
        let mut out = BytesMut::new();
        messages.iter().for_each(|(kind, body)| put(&mut out, *kind, body));
        self.write(&out).await;
    }

    /// Receives a message; returns its type and body, or `None` at the end of the stream.
    pub(crate) async fn receive(&mut self) -> Option<(u8, Vec<u8>)> {
        loop {
            if let Some(Message { kind, body }) = message(&mut self.input, 1 << 24).unwrap() {
                return Some((kind, body.to_vec()));
            }
            if self.tcp.read_buf(&mut self.input).await.unwrap_or(0) == 0 {
                return None;
            }
        }
    }

    /// Receives messages up to the first of type `last`, or to the end of the stream. Returns their types, with the
    /// codes of errors, and a dot for the end of the stream.
    pub(crate) async fn receive_until(&mut self, last: u8) -> String {
        let mut out = String::new();
        while let Some((kind, body)) = self.receive().await {
            out.push(char::from(kind));
            if kind == b'E' {
                let code = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C')).unwrap();
                out.push_str(&format!("({})", String::from_utf8_lossy(&code[1..])));
            }
            if kind == last {
                return out;
            }
        }
        out + "."
    }
}
