//! Checks that reading a segment of any bytes ends without a panic, and that every frame found is one that decodes.
//! `segment_of_any_bytes_can_be_read` in crates/ledger/tests/crash/damage.rs runs the same body as a property test.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lotusdeck_ledger::{decode, read_segment, LocatedFrame};

fuzz_target!(|bytes: &[u8]| {
    let scan = read_segment(bytes);
    for LocatedFrame { offset, frame } in &scan.frames {
        assert_eq!(decode(&bytes[*offset..]).map(|decoded| decoded.0).as_ref(), Ok(frame));
    }
    assert!(scan.damaged.iter().all(|d| d.start < d.end && d.end <= bytes.len()));
});
