use super::*;

fn packet(code: u32, rest: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u32(8 + rest.len() as u32);
    out.put_u32(code);
    out.put_slice(rest);
    out
}

#[test]
fn opening_is_read_when_cut_at_every_byte() {
    let start = packet(3 << 16, b"user\0ann\0database\0scores\0\0");
    let parameter = |name: &str, value: &str| Parameter { name: name.into(), value: value.into() };
    let parameters = vec![parameter("user", "ann"), parameter("database", "scores")];
    for (packet_bytes, expected) in [
        (start, Opening::Start { minor: 0, parameters }),
        (packet(80_877_103, b""), Opening::Ssl),
        (packet(80_877_104, b""), Opening::Gss),
        (
            packet(80_877_102, &[0, 0, 0, 7, 255, 255, 255, 255]),
            Opening::Cancel(CancelKey { process_id: 7, secret: -1 }),
        ),
    ] {
        for cut in 0..packet_bytes.len() {
            let mut part = BytesMut::from(&packet_bytes[..cut]);
            assert_eq!(opening(&mut part), Ok(None), "{expected:?} cut at {cut}");
            assert_eq!(part.len(), cut);
        }
        let mut more = packet_bytes.clone();
        more.put_slice(b"Q");
        assert_eq!(opening(&mut more), Ok(Some(expected)));
        assert_eq!(&more[..], b"Q");
    }
}

#[test]
fn invalid_openings_give_specific_errors() {
    let error_text = |mut bytes: BytesMut| opening(&mut bytes).unwrap_err().to_string();
    assert!(error_text(BytesMut::from(&[0, 0, 0, 7][..])).contains("a length of 7"));
    assert!(error_text(BytesMut::from(&[0xff; 4][..])).contains("10000"));
    assert!(error_text(packet(2 << 16, b"\0")).contains("protocol 2.0"));
    assert!(error_text(packet(3 << 16, b"user\0ann\0\0x")).contains("behind its end"));
    assert!(error_text(packet(3 << 16, b"user\0\xff\0\0")).contains("UTF-8"));
    assert!(error_text(packet(80_877_102, b"\0")).contains("another length"));
}

/// Wherever a stream is cut, the same bytes are forwarded and each message is inspected once.
#[test]
fn messages_are_forwarded_when_cut_at_every_byte() {
    let mut stream = BytesMut::new();
    put(&mut stream, b'P', b"s\0select 1\0\0\0");
    put(&mut stream, b'S', b"");
    put(&mut stream, b'Z', b"I");
    for cut in 0..=stream.len() {
        let (mut forwarder, mut out, mut seen) = (Forwarder::default(), BytesMut::new(), Vec::new());
        let mut from = BytesMut::new();
        for part in [&stream[..cut], &stream[cut..]] {
            from.put_slice(part);
            let inspect = |header: Header, first| {
                seen.push((header.kind, first));
                true
            };
            forwarder.forward(&mut from, &mut out, inspect).unwrap();
        }
        assert_eq!(seen, [(b'P', Some(b's')), (b'S', None), (b'Z', Some(b'I'))], "cut at {cut}");
        assert!(out == stream && forwarder.is_at_boundary() && from.is_empty(), "cut at {cut}");
    }
    // A message that is not forwarded stays in the buffer, with its header.
    let (mut out, mut from) = (BytesMut::new(), stream.clone());
    let moved = Forwarder::default().forward(&mut from, &mut out, |header, _| header.kind != b'S').unwrap();
    assert!(moved == out.len() && from[0] == b'S');
    let mut short = BytesMut::from(&[b'D', 0, 0, 0, 3][..]);
    assert!(Forwarder::default().forward(&mut short, &mut out, |_, _| true).is_err());
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..Default::default()
    })]
    /// Reading arbitrary bytes terminates, forwards only bytes that exist, and never panics.
    #[test]
    fn any_bytes_can_be_read(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..400)) {
        let mut from = BytesMut::from(&bytes[..]);
        let _ = opening(&mut from);
        let mut from = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = message(&mut from, 1000) {}
        let (mut from, mut out) = (BytesMut::from(&bytes[..]), BytesMut::new());
        let _ = Forwarder::default().forward(&mut from, &mut out, |_, _| true);
        assert!(out.len() + from.len() == bytes.len() && bytes.starts_with(&out));
    }
}
