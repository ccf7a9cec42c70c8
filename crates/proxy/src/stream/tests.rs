//! The stream on real connections.

use super::*;
use hyper::rt::{Read, Write};
use std::cell::Cell;
use std::io::{Read as _, Write as _};
use std::pin::Pin;

async fn pair() -> (Stream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (Stream::new(tcp), listener.accept().unwrap().0)
}

async fn write(stream: &mut Stream, bytes: &[u8]) {
    let mut remaining = bytes;
    while !remaining.is_empty() {
        let n = std::future::poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, remaining)).await.unwrap();
        remaining = &remaining[n..];
    }
}

/// Guards against a request that counts as written before its last byte, from which on the backend may run
/// it.
#[tokio::test]
async fn a_request_counts_as_written_with_its_last_byte() {
    let (mut stream, mut peer) = pair().await;
    for parts in [["POST / HTTP/1.1\r\nA: 1\r", "\n\r\nbod", "y"], ["GET / HTTP/1.1\r\n", "\r\nbo", "dy"]] {
        stream.begin_request(Some(4), Box::new(|| true));
        for part in parts {
            assert!(!stream.is_request_written(), "before {part:?}");
            write(&mut stream, part.as_bytes()).await;
        }
        assert!(stream.is_request_written());
        peer.read_exact(&mut vec![0; parts.concat().len()]).unwrap();
    }
    stream.begin_request(Some(0), Box::new(|| true));
    write(&mut stream, b"GET / HTTP/1.1\r\n\r").await;
    assert!(!stream.is_request_written());
    write(&mut stream, b"\n").await;
    assert!(stream.is_request_written());
}

/// Guards against a gate that is called after the first byte: a request that was sent in part may run.
#[tokio::test]
async fn nothing_is_sent_if_the_gate_withholds_the_request() {
    let (mut stream, mut peer) = pair().await;
    let is_allowed = Rc::new(Cell::new(false));
    let gate_allows = is_allowed.clone();
    stream.begin_request(Some(0), Box::new(move || gate_allows.get()));
    let head = b"GET / HTTP/1.1\r\n\r\n";
    let rejected = std::future::poll_fn(|cx| Pin::new(&mut stream).poll_write(cx, head)).await;
    assert!(rejected.is_err() && stream.is_request_withheld() && !stream.is_request_written());
    assert_eq!(Rc::strong_count(&is_allowed), 1, "a gate that returned false is dropped");
    is_allowed.set(true);
    let retried = std::future::poll_fn(|cx| Pin::new(&mut stream).poll_write(cx, head)).await;
    assert!(retried.is_err(), "a withheld request stays withheld");
    let gate_allows = is_allowed.clone();
    stream.begin_request(Some(0), Box::new(move || gate_allows.get()));
    write(&mut stream, &head[..5]).await;
    is_allowed.set(false);
    write(&mut stream, &head[5..]).await;
    assert!(stream.is_request_written() && !stream.is_request_withheld());
    let mut received = vec![0; head.len()];
    peer.read_exact(&mut received).unwrap();
    assert_eq!(received, head);
}

/// Guards against a disconnected client that is not detected because unread bytes precede the end of the
/// connection.
#[tokio::test]
async fn a_disconnected_client_is_detected_despite_unread_bytes() {
    let (stream, mut peer) = pair().await;
    assert!(!stream.is_closed_by_peer());
    peer.write_all(b"more").unwrap();
    assert!(!stream.is_closed_by_peer());
    drop(peer);
    assert!(stream.is_closed_by_peer());
    let (stream, peer) = pair().await;
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    assert!(stream.is_closed_by_peer());
    let (stream, mut peer) = pair().await;
    peer.write_all(b"more").unwrap();
    socket2::SockRef::from(&peer).set_linger(Some(std::time::Duration::ZERO)).unwrap();
    drop(peer); // a reset
    assert!(stream.is_closed_by_peer());
    let (mut stream, mut peer) = pair().await;
    peer.write_all(b"more").unwrap();
    let mut storage = [0; 8];
    let mut buffer = hyper::rt::ReadBuf::new(&mut storage);
    std::future::poll_fn(|cx| Pin::new(&mut stream).poll_read(cx, buffer.unfilled())).await.unwrap();
    socket2::SockRef::from(&peer).set_linger(Some(std::time::Duration::ZERO)).unwrap();
    drop(peer);
    assert!(
        stream.is_closed_by_peer() && stream.is_closed_by_peer(),
        "the kernel reports a reset after bytes that were read only once"
    );
}

/// Guards against activity that is detected only once the event loop reports it, which it has no chance to do
/// here.
#[tokio::test]
async fn peer_activity_is_detected_before_the_event_loop_reports_it() {
    let (stream, mut peer) = pair().await;
    assert!(!stream.has_unread_data());
    peer.write_all(b"x").unwrap();
    assert!(stream.has_unread_data());
    let (stream, peer) = pair().await;
    drop(peer);
    assert!(stream.has_unread_data());
}
