use super::{decode, encode, ReadError, SavedEndpoints};
use proptest::prelude::*;

fn saved() -> SavedEndpoints {
    let list = br#"{"index":7,"snapshot":true,"endpoints":[]}"#.to_vec();
    SavedEndpoints { site: "s".into(), proxy: "p-1".into(), written_ms: 1_700_000_000_000, index: 7, list }
}

#[test]
fn encoded_file_decodes_to_the_same_value_and_not_as_another_type() {
    assert_eq!(decode(&encode(&saved())), Ok(saved()));
    assert!(matches!(decode::<crate::Estimates>(&encode(&saved())), Err(ReadError::Foreign("LDLEARN"))));
}

/// Truncated writes must not be decoded as shorter files.
#[test]
fn file_cut_anywhere_is_reported_as_truncated() {
    let bytes = encode(&saved());
    for n in 0..bytes.len() {
        assert!(
            matches!(decode::<SavedEndpoints>(&bytes[..n]), Err(ReadError::Truncated { .. })),
            "cut at {n}"
        );
    }
}

#[test]
fn foreign_files_other_versions_and_wrong_lengths_have_distinct_errors() {
    let mut bytes = encode(&saved());
    let read = decode::<SavedEndpoints>;
    assert_eq!(read(b"{\"index\": 3}"), Err(ReadError::Foreign("LDSTATE")));
    bytes[8] = 2;
    assert_eq!(read(&bytes), Err(ReadError::Version(2)));
    bytes[8] = 1;
    bytes.push(0);
    assert_eq!(read(&bytes), Err(ReadError::Trailing(1)));
    bytes.pop();
    bytes[10..14].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(read(&bytes), Err(ReadError::TooLong(_))));
}

proptest! {
    /// The flipped bit is anywhere after the magic.
    #[test]
    fn file_with_a_flipped_bit_is_never_decoded(at in 8usize..200, bit in 0u8..8) {
        let mut bytes = encode(&saved());
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(decode::<SavedEndpoints>(&bytes).is_err());
    }
}
