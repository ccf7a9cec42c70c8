//! Bodies of every size and framing, in both directions: complete, in pieces, and truncated.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::io::{Read, Write};
use std::sync::Arc;
use std::time::Duration;

const LARGE: usize = 3_000_000;

fn proxy_for(backend: &BackendServer) -> Proxy {
    Proxy::start(&[entry("b0", backend.address, "SERVING")])
}

/// Returns pseudo-random letters, so that a lost or repeated piece changes the text.
fn sample_text(length: usize) -> String {
    (0..length as u32).map(|i| char::from(b'a' + (i.wrapping_mul(2_654_435_761) >> 24) as u8 % 26)).collect()
}

fn post(id: &str, left: f64, more: &str) -> String {
    format!("POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\n{more}\r\n")
}

fn chunked(body: &str, size: usize) -> String {
    let mut text = String::new();
    for piece in body.as_bytes().chunks(size) {
        text += &format!("{:x}\r\n{}\r\n", piece.len(), std::str::from_utf8(piece).unwrap());
    }
    text + "0\r\nX-Trailer: 1\r\n\r\n"
}

/// Splits an ASCII text into its bytes, so that each can be written separately.
fn bytewise(text: &str) -> Vec<String> {
    text.chars().map(String::from).collect()
}

#[test]
fn large_bodies_are_forwarded_unchanged_both_ways_and_the_connection_is_kept() {
    let answer = sample_text(LARGE);
    let reply = answer.clone();
    let backend = BackendServer::start(move |_| ok(&reply));
    let proxy = proxy_for(&backend);
    let mut client = proxy.client();
    let sent = sample_text(LARGE / 2);
    let requests = [
        post("1", 3.0, &format!("Content-Length: {}\r\n", sent.len())) + &sent,
        post("2", 3.0, "Transfer-Encoding: chunked\r\n") + &chunked(&sent, 10_007),
    ];
    for request in requests {
        let got = client.ask(&request);
        assert_eq!((got.status(), got.body.len()), (200, LARGE));
        assert!(got.body == answer.as_bytes());
        assert!(backend.next_request().body == sent.as_bytes());
    }
    assert_eq!(backend.count(), 2);
}

/// Messages are read correctly in both directions when each byte is written separately.
#[test]
fn messages_written_byte_by_byte_are_read_correctly() {
    let body = sample_text(60);
    let answer = format!("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunked(&body, 7));
    let early = format!("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 100 X\r\n\r\n{answer}");
    let sized = format!("HTTP/1.1 200 X\r\nContent-Length: 60\r\n\r\n{body}");
    let answers = [answer, early, sized];
    let backend = BackendServer::start(move |n| Reply::Pieces(bytewise(&answers[n as usize % 3])));
    let proxy = proxy_for(&backend);
    let mut client = proxy.client();
    client.0.get_ref().set_nodelay(true).unwrap();
    let requests = [
        post("1", 3.0, "Transfer-Encoding: chunked\r\n") + &chunked("cash", 3),
        post("2", 3.0, "Content-Length: 4\r\n") + "cash",
        post("3", 3.0, "transfer-encoding: Chunked\r\n") + &chunked("cash", 1),
    ];
    for request in requests {
        bytewise(&request).iter().for_each(|byte| client.send(byte));
        let got = client.answer().unwrap();
        assert_eq!((got.status(), &got.body[..]), (200, body.as_bytes()));
        assert_eq!(backend.next_request().body, b"cash");
    }
}

/// An answer without a length ends with its connection, whether it is small or large.
#[test]
fn an_answer_may_end_with_its_connection() {
    let backend = BackendServer::start(|n| {
        let body = sample_text(if n == 0 { 50 } else { LARGE });
        Reply::PiecesAndClose(vec![format!("HTTP/1.1 200 X\r\n\r\n{body}")])
    });
    let proxy = proxy_for(&backend);
    let mut client = proxy.client();
    assert!(client.ask(&pay(3.0)).body == sample_text(50).as_bytes());
    assert!(client.ask(&pay(3.0)).body == sample_text(LARGE).as_bytes());
}

#[test]
fn a_client_that_expects_100_continue_gets_it() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = proxy_for(&backend);
    let mut client = proxy.client();
    client.send(&post("1", 3.0, "Content-Length: 4\r\nExpect: 100-continue\r\n"));
    assert_eq!(client.answer().unwrap().status(), 100);
    client.send("cash");
    assert_eq!(client.answer().unwrap().status(), 200);
    let got = backend.next_request();
    assert_eq!((&got.body[..], got.header("expect")), (&b"cash"[..], None));
}

/// The first bytes of a large answer reach the client before the backend has sent the rest.
#[test]
fn a_large_answer_is_streamed_to_the_client() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let backend = BackendServer::start(move |_| {
        let head = format!("HTTP/1.1 200 X\r\nContent-Length: {LARGE}\r\n\r\n");
        Reply::Paused(head + &sample_text(LARGE / 2), held.clone(), sample_text(LARGE)[LARGE / 2..].into())
    });
    let proxy = proxy_for(&backend);
    let mut client = proxy.client();
    client.send(&pay(3.0));
    let mut got = vec![0; LARGE / 2];
    client.0.read_exact(&mut got).unwrap(); // less than was sent, as the head counts too
    gate.open();
    let rest = client.0.read_until_closed();
    assert!(got.len() + rest.len() > LARGE && rest.ends_with(&sample_text(LARGE).as_bytes()[LARGE - 1000..]));
}

/// Guards against an id that is released while the answer to its request is still being sent, so that a duplicate
/// runs in parallel.
#[test]
fn an_id_is_in_use_until_the_last_byte_of_a_large_answer() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let backend = BackendServer::start(move |_| {
        let head = format!("HTTP/1.1 200 X\r\nContent-Length: {LARGE}\r\n\r\n");
        Reply::Paused(head + &sample_text(LARGE / 2), held.clone(), sample_text(LARGE)[LARGE / 2..].into())
    });
    let proxy = proxy_for(&backend);
    let request = pay(3.0);
    let mut client = proxy.client();
    client.send(&request);
    client.0.read_exact(&mut vec![0; LARGE / 4]).unwrap(); // the answer has begun
    for number in 1..=2 {
        let mut duplicate = proxy.client();
        duplicate.send(&request);
        let mut status_line = [0; 12];
        duplicate.0.read_exact(&mut status_line).unwrap();
        let status_line = String::from_utf8_lossy(&status_line);
        assert_eq!((&*status_line, backend.count()), ("HTTP/1.1 409", 1), "duplicate {number}");
    }
    gate.open();
    let rest = client.0.read_until_closed();
    assert!(rest.ends_with(&sample_text(LARGE).as_bytes()[LARGE - 1000..]), "the answer continues");
    assert_eq!(proxy.ask(&request).status(), 200, "an answered request's id is free");
}

trait ReadUntilClosed {
    fn read_until_closed(&mut self) -> Vec<u8>;
}

impl ReadUntilClosed for std::io::BufReader<std::net::TcpStream> {
    /// Reads until the other side closes the connection, which it does once the connection is idle.
    fn read_until_closed(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        let _ = self.read_to_end(&mut all);
        all
    }
}

/// If an answer breaks off after its first bytes were forwarded, the client gets a truncated answer and can
/// detect this, and the request is not sent again.
#[test]
fn a_large_answer_that_breaks_off_is_truncated() {
    for head in ["Content-Length: 3000000", "Transfer-Encoding: chunked"] {
        let backend = BackendServer::start(move |_| {
            let part = if head.starts_with('C') {
                sample_text(200_000)
            } else {
                format!("30d40\r\n{}", sample_text(200_000))
            };
            Reply::PiecesAndClose(vec![format!("HTTP/1.1 200 X\r\n{head}\r\n\r\n{part}")])
        });
        let proxy = proxy_for(&backend);
        let mut client = proxy.client();
        client.send(&read(3.0));
        assert!(client.answer().is_none(), "{head}: the answer is truncated");
        assert_eq!(backend.count(), 1, "{head}");
        assert_eq!(proxy.operator_call("GET", "/admin/health", ""), 200);
    }
}

/// Guards against a broken answer that a client of HTTP/1.0 takes for a whole one: to it the end of the connection is the end of
/// the answer.
#[test]
fn an_answer_without_a_length_that_breaks_off_resets_the_connection_of_an_old_client() {
    let body = sample_text(200_000);
    for is_whole in [true, false] {
        let end = if is_whole { "\r\n0\r\n\r\n" } else { "" };
        let answer = format!("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n{body}{end}");
        let backend = BackendServer::start(move |_| Reply::PiecesAndClose(vec![answer.clone()]));
        let proxy = proxy_for(&backend);
        let mut client = proxy.client();
        client.send(&read(3.0).replace("HTTP/1.1", "HTTP/1.0"));
        let mut received = Vec::new();
        let end = client.0.read_to_end(&mut received).map_err(|error| error.kind());
        match is_whole {
            true => assert!(end.is_ok() && received.ends_with(body.as_bytes()), "{end:?}"),
            false => assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset)),
        }
    }
}

/// Guards against a connection that is closed without a byte because the answer broke off right behind its first
/// bytes: each client gets the beginning of the answer, or an error.
#[test]
fn a_large_answer_that_breaks_off_at_once_leaves_no_client_without_a_byte() {
    let declared = "Content-Length: 100000\r\n\r\n".to_string() + &sample_text(4_000);
    let passed_on = "Content-Length: 200000\r\n\r\n".to_string() + &sample_text(100_000);
    let chunked = "Transfer-Encoding: chunked\r\n\r\n20000\r\n".to_string() + &sample_text(100_000);
    for rest in [declared, passed_on, chunked] {
        let answer = format!("HTTP/1.1 200 X\r\n{rest}");
        let backend = BackendServer::start(move |_| Reply::PiecesAndClose(vec![answer.clone()]));
        let proxy = proxy_for(&backend);
        for number in 0..20 {
            let mut client = proxy.client();
            client.send(&post(&number.to_string(), 3.0, "Connection: close\r\nContent-Length: 0\r\n"));
            let mut received = Vec::new();
            client.0.read_to_end(&mut received).unwrap();
            assert!(received.starts_with(b"HTTP/1.1 "), "request {number} got {} bytes", received.len());
        }
    }
}

/// A large request whose connection was refused is sent to another backend. One that was rejected after its body was
/// sent is refused, as its body is consumed and cannot be sent again.
#[test]
fn a_large_request_is_repeated_only_while_it_is_whole() {
    let sent = sample_text(LARGE);
    let form = |id: &str| post(id, 3.0, &format!("Content-Length: {LARGE}\r\n")) + &sent;
    let (refusing, good) = (RefusingPort::new(), BackendServer::start(|_| ok("paid")));
    let proxy = proxy_for(&good);
    let mut client = proxy.client();
    (0..25).for_each(|_| assert_eq!(client.ask(&read(3.0)).status(), 200)); // earns the retry budget
    let (_, answer) = proxy.discovery.next_call();
    let both = [entry("b0", good.address, "SERVING"), entry("b1", refusing.address(), "SERVING")];
    answer.send((200, list(9, true, &both))).unwrap();
    let _open_watch = proxy.discovery.next_call(); // the list has been applied by now
    for n in 0..6 {
        assert_eq!(client.ask(&form(&format!("a{n}"))).status(), 200);
    }
    let rejecting = BackendServer::start(|_| Reply::Answer(503, "X-Unprocessed: 1", String::new()));
    let proxy =
        Proxy::start(&[entry("b0", rejecting.address, "SERVING"), entry("b1", rejecting.address, "SERVING")]);
    let answer = proxy.ask(&form("b"));
    assert_eq!((answer.status(), rejecting.count()), (503, 1));
    assert!(answer.header("retry-after").is_some());
}

/// The time of a request counts from its last byte, regardless of how long its upload takes, and a slow upload does
/// not count against the backend.
#[test]
fn the_time_of_a_request_begins_at_the_end_of_its_upload() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = proxy_for(&backend);
    let mut client = proxy.client();
    let (half, left) = (sample_text(LARGE / 2), 0.3);
    client.send(&post("1", left, &format!("Content-Length: {}\r\n", half.len() * 2)));
    client.send(&half);
    std::thread::sleep(Duration::from_secs_f64(left * 2.0));
    client.send(&half);
    assert_eq!(client.answer().unwrap().status(), 200);
}

/// A request with a body that is incomplete, malformed, too long or followed by surplus bytes gets an error, and no
/// backend runs it.
#[test]
fn malformed_bodies_are_rejected() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = proxy_for(&backend);
    let stopped = post("1", 3.0, &format!("Content-Length: {LARGE}\r\n")) + &sample_text(200_000);
    let broken =
        post("2", 3.0, "Transfer-Encoding: chunked\r\n") + "30d40\r\n" + &sample_text(200_000) + "!!";
    let surplus = post("3", 3.0, "Content-Length: 200000\r\n") + &sample_text(200_000) + &pay(3.0);
    let surplus_after_chunks =
        post("5", 3.0, "Transfer-Encoding: chunked\r\n") + &chunked(&sample_text(200_000), 9_000) + &pay(3.0);
    for request in [stopped, broken, surplus, surplus_after_chunks] {
        let mut client = proxy.client();
        let _ = client.0.get_mut().write_all(request.as_bytes());
        if let Some(answer) = client.answer() {
            assert!((400..500).contains(&answer.status()), "{}", answer.status());
        }
        assert!(client.ended());
    }
    let mut endless = proxy.client();
    endless.send(&post("4", 3.0, "Transfer-Encoding: chunked\r\n"));
    let chunk = format!("f4240\r\n{}\r\n", sample_text(1_000_000));
    let sent_chunks = (0..60).take_while(|_| endless.0.get_mut().write_all(chunk.as_bytes()).is_ok()).count();
    let status = endless.answer().map_or(413, |a| a.status());
    assert!(status == 413, "{status} after {sent_chunks} MB");
    assert_eq!(backend.count(), 0, "no request arrived completely");
    assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
}
