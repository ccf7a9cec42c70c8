//! Checks that a request without a record is shown as never sent only if no segment is absent.

use crate::scenario::{history, id, record, Step};
use lotusdeck_ledger::memory_disk::MemoryDisk;
use lotusdeck_ledger::{Disk, End, History, Mode, OnFailure, Options, SendState, Writer};

/// A size that holds all records of a process in these tests.
const LARGE_SEGMENT: u64 = 2000;
/// A size that holds the records of two or three requests.
const SMALL_SEGMENT: u64 = 600;

fn options(segment_bytes: u64) -> Options {
    Options { segment_bytes, ..Options::new("n0", Mode::Process, OnFailure::RejectRequests) }
}

/// Runs a process that answers five requests, whose numbers begin with `first_request`, and shuts down.
#[allow(clippy::unwrap_used, reason = "a memory disk without faults does not fail")]
fn run_process(disk: &MemoryDisk, options: Options, generation: u64, first_request: u64) {
    let now = generation * 1000;
    let (mut writer, _) = Writer::open(disk.clone(), options, generation, now);
    for request in first_request..first_request + 5 {
        for step in [
            Step::Take(request),
            Step::Send(request, 0),
            Step::End(request, 0, End::Answered(200)),
            Step::Settle(request),
        ] {
            writer.append(now, &[record(step, now)]).unwrap();
        }
    }
    writer.close(now).unwrap();
}

/// Returns a disk with three generations, of which the first ran requests 10 to 14, the second 20 to 24, and so on.
fn three_generations() -> MemoryDisk {
    let disk = MemoryDisk::default();
    (1..=3).for_each(|generation| run_process(&disk, options(SMALL_SEGMENT), generation, generation * 10));
    disk
}

#[allow(clippy::unwrap_used, reason = "a memory disk can always be listed")]
fn segments(disk: &MemoryDisk) -> Vec<String> {
    disk.list().unwrap().into_iter().filter(|file| file.ends_with(".seg")).collect()
}

fn is_shown_as_never_sent(history: &History, request: u64) -> bool {
    let found = history.find(&id(request));
    let is_never_sent = found.iter().any(|request| request.send_state() == SendState::NeverSent);
    is_never_sent || found.is_empty() && history.is_complete()
}

/// Guards against the ledger denying requests that were sent, once retention has deleted all segments of their process.
#[test]
fn requests_of_a_generation_dropped_by_retention_are_not_shown_as_never_sent() {
    let disk = MemoryDisk::default();
    for generation in 1..=8 {
        let options = Options { keep_bytes: 3 * LARGE_SEGMENT, ..options(LARGE_SEGMENT) };
        run_process(&disk, options, generation, generation * 10);
    }
    let shown = history(&disk);
    assert!(shown.find(&id(10)).is_empty(), "the first generation has not been dropped");
    for generation in 1..=8 {
        for request in generation * 10..generation * 10 + 5 {
            assert!(!is_shown_as_never_sent(&shown, request), "request {request}");
        }
    }
    assert_eq!(shown.faults, Vec::<String>::new(), "retention is not a fault");
}

/// The same where the age and not the size is over.
#[test]
fn requests_of_a_generation_dropped_by_age_are_not_shown_as_never_sent() {
    let disk = MemoryDisk::default();
    run_process(&disk, options(LARGE_SEGMENT), 1, 10);
    let by_age = Options { keep: 5000, ..options(LARGE_SEGMENT) };
    run_process(&disk, by_age, 9, 90);
    let shown = history(&disk);
    assert!(shown.find(&id(10)).is_empty(), "the first generation has not been dropped");
    assert!((10..15).all(|request| !is_shown_as_never_sent(&shown, request)));
}

/// Guards against a wrong proof where someone deleted files: each segment alone, each generation, and each number of the
/// oldest or newest segments.
#[test]
fn requests_whose_files_were_deleted_by_hand_are_not_shown_as_never_sent() {
    let disk = three_generations();
    let names = segments(&disk);
    assert!(names.len() > 6, "{names:?}");
    let mut deletions: Vec<Vec<String>> = names.iter().map(|name| vec![name.clone()]).collect();
    deletions.extend((1..=names.len()).map(|count| names[..count].to_vec()));
    deletions.extend((0..names.len()).map(|first| names[first..].to_vec()));
    deletions.extend((1..=3).map(|generation| {
        let is_of_generation = |name: &&String| name.contains(&format!("{generation:016x}"));
        names.iter().filter(is_of_generation).cloned().collect()
    }));
    for deleted in deletions {
        let mut left = disk.after_kill();
        deleted.iter().for_each(|name| left.remove(name).unwrap());
        for by_id in [false, true] {
            for request in (10..15).chain(20..25).chain(30..35) {
                let mut shown = History::default();
                shown.add("memory", &left, by_id.then_some(id(request).as_str())).unwrap();
                assert!(!is_shown_as_never_sent(&shown, request), "request {request}, without {deleted:?}");
                assert!(!shown.faults.is_empty(), "without {deleted:?}");
            }
        }
    }
}

/// A process that was killed has no last record; its newest segments may be gone all the same.
#[test]
fn last_segment_of_a_killed_process_is_missed() {
    let disk = MemoryDisk::default();
    let (mut writer, _) = Writer::open(disk.clone(), options(SMALL_SEGMENT), 1, 1000);
    for request in 0..10 {
        let steps = [Step::Take(request), Step::Send(request, 0), Step::End(request, 0, End::Answered(200))];
        steps.iter().for_each(|step| writer.append(1000, &[record(*step, 1000)]).unwrap());
    }
    drop(writer);
    assert!(history(&disk).is_complete());
    let names = segments(&disk);
    for kept in 1..names.len() {
        let mut left = disk.after_kill();
        names[kept..].iter().for_each(|name| left.remove(name).unwrap());
        let shown = history(&left);
        assert!((0..10).all(|request| !is_shown_as_never_sent(&shown, request)), "{kept} segments kept");
    }
    // A copy that was interrupted at the end of a frame.
    let last = names.last().unwrap();
    let content = disk.read(last).unwrap();
    let frames = lotusdeck_ledger::read_segment(&content).frames;
    let mut cut = disk.after_kill();
    cut.replace(last, &content[..frames[1].offset]).unwrap();
    let shown = history(&cut);
    assert!((0..10).all(|request| !is_shown_as_never_sent(&shown, request)));
}

/// Without a manifest nothing shows what a folder has lost: an earlier version wrote it, or it was copied in part.
#[test]
fn folder_without_an_intact_manifest_proves_nothing_of_requests_without_a_record() {
    let manifest = "ledger.manifest";
    for damage in [None, Some(&[][..]), Some(&[0; 64][..])] {
        let mut disk = three_generations();
        match damage {
            None => disk.remove(manifest).unwrap(),
            Some(bytes) => disk.replace(manifest, bytes).unwrap(),
        }
        assert!(!is_shown_as_never_sent(&history(&disk), 99), "{damage:?}");
        assert_eq!(history(&disk).find(&id(10))[0].send_state(), SendState::Sent);
        // It proves as little after the next process has written a manifest.
        run_process(&disk, options(SMALL_SEGMENT), 4, 40);
        assert!(!is_shown_as_never_sent(&history(&disk), 99), "{damage:?}");
    }
}

/// A program without a manifest may write between two others that have one, and may delete what it wrote itself.
#[test]
fn generation_of_an_earlier_version_among_others_proves_nothing_once_it_is_gone() {
    let mut disk = three_generations();
    let manifest = disk.read("ledger.manifest").unwrap();
    run_process(&disk, options(SMALL_SEGMENT), 4, 40);
    disk.replace("ledger.manifest", &manifest).unwrap();
    assert!(!is_shown_as_never_sent(&history(&disk), 99));
    run_process(&disk, options(SMALL_SEGMENT), 5, 50);
    let unlisted: Vec<String> =
        segments(&disk).into_iter().filter(|name| name.contains("0000000000000004-")).collect();
    assert!(!unlisted.is_empty());
    unlisted.iter().for_each(|name| disk.remove(name).unwrap());
    let shown = history(&disk);
    assert!((40..45).all(|request| !is_shown_as_never_sent(&shown, request)));
}

/// What the records do prove stays certain, whatever else is gone.
#[test]
fn requests_with_a_record_stay_certain_beside_dropped_generations() {
    let disk = MemoryDisk::default();
    (1..=8).for_each(|generation| {
        let options = Options { keep_bytes: 5 * LARGE_SEGMENT, ..options(LARGE_SEGMENT) };
        run_process(&disk, options, generation, generation * 10);
    });
    let shown = history(&disk);
    assert!((80..85).all(|request| shown.find(&id(request))[0].send_state() == SendState::Sent));
}

/// An intact folder proves that a request without a record was never sent, also where its first process was killed
/// before it had written a frame.
#[test]
fn intact_folder_proves_that_a_request_without_a_record_was_never_sent() {
    assert!(is_shown_as_never_sent(&history(&three_generations()), 99));
    let disk = MemoryDisk::default();
    drop(Writer::open(disk.clone(), options(SMALL_SEGMENT), 1, 0));
    assert!(is_shown_as_never_sent(&history(&disk), 99));
    assert!(!is_shown_as_never_sent(&history(&MemoryDisk::default()), 99), "an empty folder proves nothing");
}

/// A later program's manifest stays as it is, and this one proves nothing.
#[test]
fn manifest_of_a_newer_format_is_left_alone() {
    let mut disk = three_generations();
    let mut newer = disk.read("ledger.manifest").unwrap();
    newer[8] = 9;
    disk.replace("ledger.manifest", &newer).unwrap();
    run_process(&disk, options(SMALL_SEGMENT), 4, 40);
    assert_eq!(disk.read("ledger.manifest").unwrap(), newer);
    let shown = history(&disk);
    assert!(!is_shown_as_never_sent(&shown, 99));
    assert!(shown.faults.iter().any(|fault| fault.contains("format 9")), "{:?}", shown.faults);
    assert_eq!(shown.find(&id(40))[0].send_state(), SendState::Sent);
}

/// What is remembered of dropped generations does not grow with their number.
#[test]
fn manifest_does_not_grow_with_the_number_of_dropped_generations() {
    let disk = MemoryDisk::default();
    let mut longest = 0;
    for generation in 1..=500 {
        let options = Options { keep_bytes: 3 * LARGE_SEGMENT, ..options(LARGE_SEGMENT) };
        run_process(&disk, options, generation, generation * 10);
        longest = longest.max(disk.read("ledger.manifest").unwrap().len());
    }
    assert!(longest < 300, "{longest} bytes");
    assert!((10..15).all(|request| !is_shown_as_never_sent(&history(&disk), request)));
}

/// An incomplete copy beside the whole folder proves as much as the folder.
#[test]
fn folder_and_its_copy_are_read_together() {
    let disk = three_generations();
    let mut copy = disk.after_kill();
    let last = segments(&disk).pop().unwrap();
    copy.remove(&last).unwrap();
    for order in [[&disk, &copy], [&copy, &disk]] {
        let mut shown = History::default();
        order.iter().for_each(|disk| shown.add("memory", *disk, None).unwrap());
        assert!((30..35).all(|request| shown.find(&id(request))[0].send_state() == SendState::Sent));
    }
}

/// What one folder misses is reported for this folder alone, and makes the answer of all uncertain.
#[test]
fn missing_records_are_reported_once_under_the_name_of_their_folder() {
    let mut damaged = three_generations();
    let first = segments(&damaged).remove(0);
    damaged.remove(&first).unwrap();
    let other = MemoryDisk::default();
    run_process(&other, options(SMALL_SEGMENT), 9, 90);
    let mut shown = History::default();
    shown.add("damaged", &damaged, None).unwrap();
    shown.add("other", &other, None).unwrap();
    assert_eq!(shown.faults.len(), 1, "{:?}", shown.faults);
    assert!(shown.faults[0].starts_with("damaged: "), "{:?}", shown.faults);
    assert!(!is_shown_as_never_sent(&shown, 10));
}

/// The same while a process runs, which then writes a new manifest.
#[test]
fn manifest_deleted_under_a_running_process_proves_nothing_afterwards() {
    let mut disk = three_generations();
    let (mut writer, _) = Writer::open(disk.clone(), options(SMALL_SEGMENT), 4, 4000);
    disk.remove("ledger.manifest").unwrap();
    segments(&disk)
        .iter()
        .filter(|name| !name.contains("0000000000000004-"))
        .for_each(|name| disk.remove(name).unwrap());
    for request in 40..50 {
        let records = [record(Step::Take(request), 4000), record(Step::Settle(request), 4000)];
        writer.append(4000, &records).unwrap();
    }
    assert!(disk.read("ledger.manifest").is_ok(), "no segment was created since");
    let shown = history(&disk);
    assert!((10..15).all(|request| !is_shown_as_never_sent(&shown, request)));
    assert_eq!(shown.find(&id(41))[0].send_state(), SendState::NeverSent, "it has no intent, and is settled");
}
