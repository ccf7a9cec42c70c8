//! Checks which segments are kept and which are deleted.

use crate::scenario::{history, id, record, Step};
use lotusdeck_ledger::memory_disk::{Faults, MemoryDisk};
use lotusdeck_ledger::{Disk, End, Mode, OnFailure, Options, SendState, Writer};

/// Old segments are deleted, but a segment with an unresolved request only when its age reaches `keep_unresolved`.
#[test]
fn segment_with_an_unresolved_request_is_kept_until_its_age() {
    let disk = MemoryDisk::default();
    let options = Options {
        segment_bytes: 700,
        keep_bytes: 3000,
        ..Options::new("n0", Mode::Process, OnFailure::RejectRequests)
    };
    let (mut writer, _) = Writer::open(disk.clone(), options.clone(), 1, 0);
    writer.append(1, &[record(Step::Take(0), 1), record(Step::Send(0, 0), 1)]).unwrap();
    for request in 1..200 {
        for step in [
            Step::Take(request),
            Step::Send(request, 0),
            Step::End(request, 0, End::Answered(200)),
            Step::Settle(request),
        ] {
            writer.append(request, &[record(step, request)]).unwrap();
        }
    }
    assert!(
        writer.take_deleted().is_empty(),
        "a segment was deleted although the oldest one has an unresolved request"
    );
    writer.append(300, &[record(Step::Settle(0), 300)]).unwrap();
    for request in 200..230 {
        writer
            .append(request, &[record(Step::Take(request), request), record(Step::Settle(request), request)])
            .unwrap();
    }
    assert!(writer.take_deleted().len() > 10);
    // The next process finds the requests that the last one left unresolved, and keeps their segments.
    let kept = disk.list().unwrap().len();
    writer.append(300, &[record(Step::Take(999), 300), record(Step::Send(999, 0), 300)]).unwrap();
    drop(writer);
    let without_keeping = Options { keep: 0, keep_bytes: 0, ..options };
    let (mut next, _) = Writer::open(disk.after_kill(), without_keeping, 2, 400);
    for request in 0..20 {
        next.append(500 + request, &[record(Step::Take(request), 500), record(Step::Settle(request), 500)])
            .unwrap();
    }
    let dropped = next.take_deleted();
    assert!(!dropped.is_empty() && dropped.len() < kept, "{dropped:?}");
}

/// Guards against a request shown as never sent because a segment with its later attempt was deleted before the segment
/// with its arrival, as the clock had been set back between them.
#[test]
fn segments_of_a_process_are_deleted_in_the_order_in_which_they_were_written() {
    let disk = MemoryDisk::default();
    let options =
        Options { segment_bytes: 400, ..Options::new("n0", Mode::Process, OnFailure::RejectRequests) };
    let (mut writer, _) = Writer::open(disk.clone(), options.clone(), 1, 1000);
    let attempt =
        |attempt, at| [record(Step::Send(7, attempt), at), record(Step::End(7, attempt, End::NeverSent), at)];
    writer.append(9000, &[record(Step::Take(7), 9000)]).unwrap();
    writer.append(9000, &attempt(0, 9000)).unwrap();
    writer.append(2000, &[record(Step::Send(7, 1), 2000)]).unwrap();
    drop(writer);
    assert_eq!(disk.list().unwrap().iter().filter(|file| file.ends_with(".seg")).count(), 2);
    let by_age = Options { keep: 5000, ..options };
    let (mut next, _) = Writer::open(disk.clone(), by_age, 2, 10_000);
    next.close(10_000).unwrap();
    let shown = history(&disk).find(&id(7));
    assert_eq!(shown[0].send_state(), SendState::PossiblySent, "{shown:?}");
    assert!(next.take_deleted().is_empty());
}

/// On a disk that others have filled, retention makes the room that recording what it deletes needs.
#[test]
fn full_disk_does_not_keep_retention_from_making_room() {
    let disk = MemoryDisk::default();
    let options = Options {
        segment_bytes: 1000,
        keep_bytes: 2500,
        ..Options::new("n0", Mode::Process, OnFailure::RejectRequests)
    };
    let (mut writer, _) = Writer::open(disk.clone(), options, 1, 0);
    let mut append = |request| {
        let records = [record(Step::Take(request), 1), record(Step::Settle(request), 1)];
        writer.append(1, &records).unwrap();
    };
    let used = || -> usize { disk.list().unwrap().iter().map(|name| disk.read(name).unwrap().len()).sum() };
    (0..40).for_each(&mut append);
    disk.set_faults(Faults { capacity: Some(used()), ..Faults::default() });
    (40..90).for_each(&mut append);
    assert!(disk.list().unwrap().iter().all(|name| !name.ends_with("-00000003.seg")));
}

/// Guards against records of a running process that are written to a segment which the other process of an upgrade has
/// deleted.
#[test]
fn segment_that_another_process_writes_is_not_deleted() {
    let disk = MemoryDisk::default();
    let options = Options {
        segment_bytes: 700,
        keep_bytes: 0,
        ..Options::new("n0", Mode::Process, OnFailure::RejectRequests)
    };
    let large = Options { segment_bytes: 1 << 16, keep_bytes: u64::MAX, ..options.clone() };
    let order = |request, at| {
        [
            record(Step::Take(request), at),
            record(Step::Send(request, 0), at),
            record(Step::Settle(request), at),
        ]
    };
    let (mut old, _) = Writer::open(disk.clone(), large, 1, 1000);
    old.append(1000, &order(1, 1000)).unwrap();
    let (mut new, _) = Writer::open(disk.clone(), options, 2, 2000);
    for request in 10..30 {
        new.append(2000, &order(request, 2000)).unwrap();
    }
    assert!(!new.take_deleted().is_empty());
    old.append(3000, &order(2, 3000)).unwrap();
    let shown = history(&disk);
    assert!([1, 2].iter().all(|request| shown.find(&id(*request)).len() == 1), "{:?}", shown.notes);
}
