//! Checks histories whose files are damaged, lost or of a newer format.

use crate::scenario::{compare, history, Scenario, Step, Truth, SHORT_HISTORY};
use lotusdeck_ledger::memory_disk::MemoryDisk;
use lotusdeck_ledger::{decode, read_segment, Disk, History, LocatedFrame, Mode, OnFailure};
use proptest::prelude::*;

/// Flips each bit of each file: requests may become uncertain but are never shown wrongly, whether or not the process
/// shut down gracefully.
#[test]
fn flipped_bit_never_makes_a_wrong_certainty() {
    for (steps, close) in [(SHORT_HISTORY.len(), true), (SHORT_HISTORY.len(), false), (10, false)] {
        let disk = MemoryDisk::default();
        let mut scenario = Scenario::new(disk.clone(), Mode::Process, OnFailure::RejectRequests, 700);
        scenario.steps(&SHORT_HISTORY[..steps]);
        if close {
            scenario.step(Step::Close);
        }
        for name in disk.list().unwrap() {
            let bits = disk.read(&name).unwrap().len() * 8;
            for bit in 0..bits {
                let flipped = disk.after_kill();
                assert!(flipped.flip(&name, bit));
                compare(&history(&flipped), &scenario.truth)
                    .unwrap_or_else(|e| panic!("{name}, bit {bit}: {e}"));
                // A query for one id reads the index before the segment.
                let mut by_id = History::default();
                by_id.add("memory", &flipped, Some("request-0002")).unwrap();
                let expected: Truth =
                    scenario.truth.clone().into_iter().filter(|(id, _)| id == "request-0002").collect();
                compare(&by_id, &expected).unwrap_or_else(|e| panic!("by index, {name}, bit {bit}: {e}"));
            }
        }
    }
}

/// Removes each segment, or marks it as of a newer format, in a history whose clock runs backwards.
#[test]
fn lost_segment_newer_format_and_backward_clock_are_never_shown_wrongly() {
    let disk = MemoryDisk::default();
    let mut scenario = Scenario::new(disk.clone(), Mode::Process, OnFailure::RejectRequests, 480);
    for (position, step) in SHORT_HISTORY.iter().enumerate() {
        scenario.now = 100_000 - 1000 * position as u64;
        scenario.step(*step);
    }
    let names: Vec<String> = disk.list().unwrap().into_iter().filter(|name| name.ends_with(".seg")).collect();
    assert!(names.len() > 2, "{names:?}");
    for name in &names {
        let mut lost = disk.after_kill();
        lost.remove(name).unwrap();
        compare(&history(&lost), &scenario.truth).unwrap_or_else(|e| panic!("{name} lost: {e}"));
        let newer = disk.after_kill();
        newer.clone().write(&mut name.clone(), 8, &[9, 0]).unwrap();
        let shown = history(&newer);
        assert!(shown.faults.iter().any(|fault| fault.contains("format 9")), "{:?}", shown.faults);
        compare(&shown, &scenario.truth).unwrap_or_else(|e| panic!("{name} newer: {e}"));
    }
    assert!(compare(&history(&disk), &scenario.truth) == Ok(0));
}

proptest! {
    #![proptest_config(crate::random::config())]

    /// Runs the body of the fuzz target as a property test: reading any bytes ends without a panic, and each frame
    /// found is one that decodes. Repeats this with a partly overwritten segment, which must not be shown wrongly.
    #[test]
    fn segment_of_any_bytes_can_be_read(
        bytes in proptest::collection::vec(any::<u8>(), 0..2000), at in 0usize..2000,
    ) {
        check_scan(&bytes);
        // An intact segment with a part overwritten by random bytes.
        let disk = MemoryDisk::default();
        let mut scenario = Scenario::new(disk.clone(), Mode::Process, OnFailure::RejectRequests, 1 << 12);
        scenario.steps(&SHORT_HISTORY);
        let name = disk.list().unwrap().remove(0);
        disk.clone().write(&mut name.clone(), at as u64, &bytes[..bytes.len().min(60)]).unwrap();
        check_scan(&disk.read(&name).unwrap());
        if let Err(e) = compare(&history(&disk), &scenario.truth) {
            prop_assert!(false, "{e}");
        }
    }
}

fn check_scan(bytes: &[u8]) {
    let scan = read_segment(bytes);
    for LocatedFrame { offset, frame } in &scan.frames {
        assert_eq!(decode(&bytes[*offset..]).map(|decoded| decoded.0).as_ref(), Ok(frame));
    }
    assert!(scan.damaged.iter().all(|range| range.start < range.end && range.end <= bytes.len()));
}
