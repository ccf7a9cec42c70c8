use super::*;

/// Checks that the places do not depend on how the bytes are split, and returns them.
fn places(framing: Framing, direction: Direction, bytes: &[u8]) -> Vec<(u64, u64, Place)> {
    let split = |size: usize| {
        let (mut framer, mut marks) = (Framer::new(framing, direction), Vec::new());
        bytes.chunks(size).for_each(|piece| framer.feed(piece, &mut marks));
        marks.into_iter().map(|m| (m.at, m.message, m.place)).collect::<Vec<_>>()
    };
    let whole = split(bytes.len());
    (1..bytes.len()).for_each(|size| assert_eq!(split(size), whole, "pieces of {size}"));
    whole
}

#[test]
fn http_answers_are_framed_at_every_split() {
    use Place::*;
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd\
                    HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n0\r\nT: 1\r\n\r\n\
                    HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\nto the end";
    let got = places(Framing::Http, Direction::Down, text.as_bytes());
    let at = |what: &str| text.find(what).map(|at| at as u64).unwrap();
    let expected = vec![
        (0, 1, Start),
        (at("HTTP/1.1 200"), 1, Start),
        (at("abcd"), 1, Body),
        (at("abcd") + 2, 1, Middle),
        (at("abcd") + 4, 1, End),
        (at("abcd") + 4, 2, Start),
        (at("3;x"), 2, Body),
        (at("3;x"), 2, Chunk),
        (at("0\r\nT"), 2, Chunk),
        (at("HTTP/1.1 204"), 2, End),
        (at("HTTP/1.1 204"), 3, Start),
        (at("HTTP/1.1 204") + 27, 3, Body),
        (at("HTTP/1.1 204") + 27, 3, End),
        (at("HTTP/1.1 204") + 27, 4, Start),
        (at("to the end"), 4, Body),
    ];
    assert_eq!(got, expected);
}

#[test]
fn http_requests_are_framed_and_invalid_bytes_are_not() {
    let text = "GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\ncontent-length: 2\r\n\r\nhiGET /c HTTP/1.1\r\n\r\n";
    let got = places(Framing::Http, Direction::Up, text.as_bytes());
    let starts: Vec<u64> = got.iter().filter(|m| m.2 == Place::Start).map(|m| m.0).collect();
    assert_eq!(starts, ["GET /a", "POST", "GET /c"].map(|s| text.find(s).unwrap() as u64));
    assert_eq!(
        places(Framing::Http, Direction::Down, b"nonsense\r\n\r\nmore").len(),
        1,
        "one start, and no further places"
    );
    let endless = vec![b'a'; MAX_HEAD + 9];
    assert_eq!(places_of(&endless), 1);
}

fn places_of(bytes: &[u8]) -> usize {
    let (mut framer, mut marks) = (Framer::new(Framing::Http, Direction::Up), Vec::new());
    framer.feed(bytes, &mut marks);
    assert!(framer.buffer.len() <= MAX_HEAD, "the buffer is bounded");
    marks.len()
}

#[test]
fn postgres_messages_are_framed_at_every_split() {
    let message = |kind: &[u8], body: &[u8]| [kind, &(body.len() as u32 + 4).to_be_bytes(), body].concat();
    let encryption_request = [8u32.to_be_bytes(), ENCRYPTION_REQUEST_CODES[0].to_be_bytes()].concat();
    let up = [
        encryption_request,
        message(b"", b"\0\x03\0\0user\0a\0\0"),
        message(b"Q", b"select 1\0"),
        message(b"X", b""),
    ];
    let got = places(Framing::Postgres, Direction::Up, &up.concat());
    let starts: Vec<(u64, u64)> = got.iter().filter(|m| m.2 == Place::Start).map(|m| (m.0, m.1)).collect();
    let mut at = 0;
    let expected = up.iter().enumerate().map(|(n, m)| {
        at += m.len() as u64;
        (at - m.len() as u64, n as u64 + 1)
    });
    assert_eq!(starts, expected.collect::<Vec<_>>());
    let down =
        [b"N".to_vec(), message(b"R", &[0; 4]), message(b"N", b"notice"), message(b"Z", b"I")].concat();
    let got = places(Framing::Postgres, Direction::Down, &down);
    let ends: Vec<u64> = got.iter().filter(|m| m.2 == Place::End).map(|m| m.0).collect();
    assert_eq!(ends, [1, 10, 21, 27]);
}
