use super::{decode, encode, DecodeError, Frame};
use crate::record::Record;

#[test]
fn frame_decodes_to_its_record_and_every_flipped_bit_and_cut_is_detected() {
    let record = Record::Intent {
        request: 7,
        attempt: 1,
        at: 99,
        id: "9b1f03aa5c7e2d41".into(),
        backend: "s-5be2a07c".into(),
        address: "127.0.0.1:8443".into(),
    };
    let mut bytes = Vec::new();
    encode(42, &record, &mut bytes);
    assert_eq!(decode(&bytes), Ok((Frame { sequence: 42, record }, bytes.len())));
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&flipped).is_err(), "bit {bit}");
    }
    for cut in 1..bytes.len() {
        assert_eq!(decode(&bytes[..cut]), Err(DecodeError::Corrupt), "cut at {cut}");
    }
    assert_eq!(decode(&[0; 40]), Err(DecodeError::Unwritten));
}
