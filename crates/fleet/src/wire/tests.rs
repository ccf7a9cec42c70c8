use super::*;
use proptest::prelude::*;

#[test]
fn message_is_read_back_and_one_of_a_different_fleet_is_rejected() {
    let grant = Message::LeaseGrant { from: 3, nonce: 9, granted: Amount { rate: 2.5, slots: 4 } };
    let bytes = encode(7, &grant);
    assert_eq!(decode(7, &bytes), Ok(grant));
    assert_eq!(decode(8, &bytes), Err(WireError::TagMismatch { received: 7, own: 8 }));
    assert_eq!(decode(7, b"GET / HTTP/1.1"), Err(WireError::ForeignProtocol));
}

proptest! {
    /// Decoding arbitrary bytes returns a message or an error and never panics.
    #[test]
    fn any_bytes_are_read_or_rejected(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = encode(7, &Message::Swim(Vec::new()));
        bytes.truncate(HEADER_BYTES);
        bytes.extend(body);
        let _ = decode(7, &bytes);
    }
}
