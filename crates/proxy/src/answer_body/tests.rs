//! Answers that break off, written by hyper to real connections.

use super::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::convert::Infallible;
use std::io::{Read as _, Write as _};
use tokio::net::TcpStream;

const FIRST_BYTES: usize = 4_000;
const LENGTH: u64 = 100_000;

/// Answers one request with the first bytes of an answer that has already broken off, and returns what the client
/// reads until its connection ends.
async fn read_broken_answer(length: Option<u64>) -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nHost: s\r\n\r\n").unwrap();
    let accepted = listener.accept().unwrap().0;
    accepted.set_nonblocking(true).unwrap();
    let stream = Stream::new(TcpStream::from_std(accepted).unwrap());
    let service = service_fn(|_| async {
        let (sender, answer) = stream_answer(Bytes::from(vec![b'#'; FIRST_BYTES]), length);
        drop(sender); // the answer broke off before the first poll of its body
        let mut body = AnswerBody::Streamed { answer, guards: Vec::new() };
        body.set_client(&stream, hyper::Version::HTTP_11);
        Ok::<_, Infallible>(Response::new(body))
    });
    let served = http1::Builder::new().serve_connection(stream.clone(), service).await;
    assert!(served.is_err(), "the connection ends with an error");
    drop(stream);
    let mut received = String::new();
    client.read_to_string(&mut received).unwrap();
    received
}

/// Guards against a client whose connection is closed without a byte because its backend's answer broke off before
/// its beginning was written.
#[tokio::test]
async fn the_beginning_of_an_answer_that_breaks_off_is_written_before_the_connection_ends() {
    for length in [Some(LENGTH), None] {
        let received = read_broken_answer(length).await;
        assert!(received.starts_with("HTTP/1.1 200 OK\r\n"), "{length:?}: {received:?}");
        assert_eq!(received.matches('#').count(), FIRST_BYTES, "{length:?}");
        assert!(!received.ends_with("0\r\n\r\n"), "{length:?}: the client can tell that it is not whole");
    }
}
