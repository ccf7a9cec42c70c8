use super::*;
use proptest::prelude::*;

fn saved() -> SavedEndpoints {
    let list = br#"{"index":7,"snapshot":true,"endpoints":[]}"#.to_vec();
    SavedEndpoints { site: "s".into(), proxy: "p-1".into(), written_ms: 1_700_000_000_000, index: 7, list }
}

#[test]
fn what_is_written_is_read() {
    assert_eq!(decode(&encode(&saved())), Ok(saved()));
    assert!(matches!(decode::<crate::Estimates>(&encode(&saved())), Err(ReadError::Foreign("LDLEARN"))));
}

/// Every cut of a write is told as cut, never read as a shorter state.
#[test]
fn every_truncation_is_told() {
    let bytes = encode(&saved());
    for n in 0..bytes.len() {
        assert!(
            matches!(decode::<SavedEndpoints>(&bytes[..n]), Err(ReadError::Truncated { .. })),
            "cut at {n}"
        );
    }
}

#[test]
fn other_files_and_versions_are_told_apart() {
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
    /// A flipped bit anywhere after the magic is never taken for a state.
    #[test]
    fn a_flipped_bit_is_never_taken(at in 8usize..200, bit in 0u8..8) {
        let mut bytes = encode(&saved());
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(decode::<SavedEndpoints>(&bytes).is_err());
    }
}
