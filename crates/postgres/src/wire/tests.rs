use super::*;

fn packet(code: u32, rest: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u32(8 + rest.len() as u32);
    out.put_u32(code);
    out.put_slice(rest);
    out
}

#[test]
fn openings_are_read_cut_at_every_byte() {
    let start = packet(3 << 16, b"user\0ann\0database\0scores\0\0");
    let pair = |a: &str, b: &str| (a.to_string(), b.to_string());
    let pairs = vec![pair("user", "ann"), pair("database", "scores")];
    for (whole, due) in [
        (start, Opening::Start(0, pairs)),
        (packet(80_877_103, b""), Opening::Ssl),
        (packet(80_877_104, b""), Opening::Gss),
        (packet(80_877_102, &[0, 0, 0, 7, 255, 255, 255, 255]), Opening::Cancel(7, -1)),
    ] {
        for cut in 0..whole.len() {
            let mut part = BytesMut::from(&whole[..cut]);
            assert_eq!(opening(&mut part), Ok(None), "{due:?} cut at {cut}");
            assert_eq!(part.len(), cut);
        }
        let mut more = whole.clone();
        more.put_slice(b"Q");
        assert_eq!(opening(&mut more), Ok(Some(due)));
        assert_eq!(&more[..], b"Q");
    }
}

#[test]
fn bad_openings_are_told_apart() {
    let fault = |mut bytes: BytesMut| opening(&mut bytes).unwrap_err().to_string();
    assert!(fault(BytesMut::from(&[0, 0, 0, 7][..])).contains("a length of 7"));
    assert!(fault(BytesMut::from(&[0xff; 4][..])).contains("10000"));
    assert!(fault(packet(2 << 16, b"\0")).contains("protocol 2.0"));
    assert!(fault(packet(3 << 16, b"user\0ann\0\0x")).contains("behind its end"));
    assert!(fault(packet(3 << 16, b"user\0\xff\0\0")).contains("UTF-8"));
    assert!(fault(packet(80_877_102, b"\0")).contains("another length"));
}

/// However a stream is cut, the same bytes come out and each message is seen once.
#[test]
fn pieces_pass_whole_messages_cut_at_every_byte() {
    let mut stream = BytesMut::new();
    put(&mut stream, b'P', b"s\0select 1\0\0\0");
    put(&mut stream, b'S', b"");
    put(&mut stream, b'Z', b"I");
    for cut in 0..=stream.len() {
        let (mut pieces, mut out, mut seen) = (Pieces::default(), BytesMut::new(), Vec::new());
        let mut from = BytesMut::new();
        for part in [&stream[..cut], &stream[cut..]] {
            from.put_slice(part);
            let see = |h: Head, first| {
                seen.push((h.kind, first));
                true
            };
            pieces.pass(&mut from, &mut out, see).unwrap();
        }
        assert_eq!(seen, [(b'P', Some(b's')), (b'S', None), (b'Z', Some(b'I'))], "cut at {cut}");
        assert!(out == stream && pieces.at_boundary() && from.is_empty(), "cut at {cut}");
    }
    // What may not go stays, head and all.
    let (mut out, mut from) = (BytesMut::new(), stream.clone());
    let moved = Pieces::default().pass(&mut from, &mut out, |h, _| h.kind != b'S').unwrap();
    assert!(moved == out.len() && from[0] == b'S');
    let mut short = BytesMut::from(&[b'D', 0, 0, 0, 3][..]);
    assert!(Pieces::default().pass(&mut short, &mut out, |_, _| true).is_err());
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..Default::default()
    })]
    /// Whatever the bytes are, reading ends, takes no more than there is, and never panics.
    #[test]
    fn any_bytes_can_be_read(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..400)) {
        let mut from = BytesMut::from(&bytes[..]);
        let _ = opening(&mut from);
        let mut from = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = message(&mut from, 1000) {}
        let (mut from, mut out) = (BytesMut::from(&bytes[..]), BytesMut::new());
        let _ = Pieces::default().pass(&mut from, &mut out, |_, _| true);
        assert!(out.len() + from.len() == bytes.len() && bytes.starts_with(&out));
    }
}
