use super::*;
use crate::fault_proxy::script::Place;

fn due(when: When, what: FaultKind) -> Due {
    Due { index: 0, way: Direction::Down, when, gives: None, what, seed: 1 }
}

/// Returns all that is sent by a time: the bytes joined, and the other actions.
fn out(pipe: &mut Pipe, now: u64) -> (String, Vec<Out>) {
    let (mut text, mut rest) = (Vec::new(), Vec::new());
    while let Some(out) = pipe.pop(now) {
        match out {
            Out::Bytes(bytes) => text.extend(bytes),
            other => rest.push(other),
        }
    }
    (String::from_utf8_lossy(&text).into_owned(), rest)
}

fn play(when: When, what: FaultKind, pieces: &[&str]) -> (String, Vec<Out>) {
    let mut pipe = Pipe::new(Framing::Http, Direction::Down, &[due(when, what)]);
    pieces.iter().for_each(|piece| pipe.receive(0, piece.as_bytes()));
    let got = out(&mut pipe, 0);
    assert_eq!(pipe.held, 0, "sent bytes are no longer held");
    got
}

#[test]
fn bytes_before_the_place_pass_unchanged() {
    for pieces in [&["abcdef"][..], &["ab", "c", "def"], &["abc", "def"]] {
        let all = |what| play(When::Byte(3), what, pieces);
        assert_eq!(all(FaultKind::Hang), ("abc".into(), vec![]));
        assert_eq!(all(FaultKind::HalfClose), ("abc".into(), vec![Out::HalfClose]));
        assert_eq!(all(FaultKind::Reset).1, [Out::Reset]);
        assert_eq!(all(FaultKind::Repeat { bytes: 2 }).0, "abcdedef");
        assert_eq!(all(FaultKind::Replace { text: "XY".into() }).0, "abcXYf");
        assert_eq!(all(FaultKind::Insert { text: "XY".into() }).0, "abcXYdef");
        assert_eq!(all(FaultKind::Flip { bytes: 9 }).0, "abc", "held until all bytes have arrived");
    }
}

#[test]
fn faults_happen_at_places_in_messages() {
    let second = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    let both = format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd{second}");
    let got = play(When::Message(2, Place::Chunk), FaultKind::Replace { text: "z".into() }, &[&both]);
    assert_eq!(got.0, both.replace("5\r\nhello", "z\r\nhello"), "the size of the second answer's chunk");
    let got = play(When::Message(1, Place::Middle), FaultKind::HalfClose, &[&both[..20], &both[20..]]);
    assert!(got.0.ends_with("\r\n\r\nab") && got.1 == [Out::HalfClose], "{got:?}");
    let got = play(When::Message(2, Place::Start), FaultKind::Cut, &[&both]);
    assert!(got.0.ends_with("abcd") && got.1.first() == Some(&Out::Cut), "{got:?}");
}

#[test]
fn delays_keep_the_order() {
    let mut pipe = Pipe::new(
        Framing::None,
        Direction::Down,
        &[
            due(When::Byte(2), FaultKind::Stall { ms: 5 }),
            due(When::After(9_000), FaultKind::Bandwidth { bytes_per_s: 1_000 }),
            due(When::Word("now".into()), FaultKind::Reset),
        ],
    );
    pipe.receive(0, b"abcd");
    assert_eq!(out(&mut pipe, 4_999).0, "ab");
    assert_eq!(pipe.next_due(0), Some(5_000));
    assert_eq!(out(&mut pipe, 5_000).0, "cd");
    assert_eq!(pipe.next_due(5_000), Some(9_000), "the time of a fault");
    pipe.receive(10_000, &[b'x'; 30]);
    assert_eq!(
        out(&mut pipe, 20_000).0.len(),
        20,
        "20 bytes pass immediately, the rest 20 ms later at 1,000 a second"
    );
    assert_eq!(out(&mut pipe, 30_000).0.len(), 10);
    assert_eq!(pipe.awaited_words().collect::<Vec<_>>(), ["now"]);
    pipe.give_word(31_000, "now");
    assert_eq!(out(&mut pipe, 40_000).1, [Out::Reset]);
    let mut full =
        Pipe::new(Framing::None, Direction::Down, &[due(When::Byte(0), FaultKind::Stall { ms: 1 })]);
    full.receive(0, &vec![b'x'; MAX_HELD]);
    assert!(!full.can_read(0), "reading stops at the limit of held bytes");
    assert!(out(&mut full, 1_000).0.len() == MAX_HELD && full.can_read(1_000));
    let mut merged =
        Pipe::new(Framing::None, Direction::Down, &[due(When::Byte(0), FaultKind::Merge { ms: 2 })]);
    [0, 1_000, 2_000].iter().for_each(|at| merged.receive(*at, b"ab"));
    assert_eq!(merged.pop(1_999), None);
    assert_eq!(merged.pop(2_000), Some(Out::Bytes(b"ababab".to_vec())), "as one piece");
    let mut split =
        Pipe::new(Framing::None, Direction::Down, &[due(When::Byte(0), FaultKind::Split { bytes: 1 })]);
    split.receive(0, b"ab");
    split.end(0);
    let pieces = [split.pop(0), split.pop(0), split.pop(0), split.pop(0)];
    let bytes = |b: &[u8]| Some(Out::Bytes(b.to_vec()));
    assert_eq!(pieces, [bytes(b"a"), bytes(b"b"), Some(Out::HalfClose), None]);
}
