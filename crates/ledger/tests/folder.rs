//! Checks the disk of a ledger on the file system.
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected results")]

use lotusdeck_ledger::{Disk, Folder, History, Mode, OnFailure, Options, Record, Writer};
use std::path::PathBuf;

fn empty_folder(name: &str) -> (PathBuf, Folder) {
    let path = std::env::temp_dir().join(format!("lotusdeck-folder-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let folder = Folder::open(&path).unwrap();
    (path, folder)
}

#[test]
fn file_is_open_until_it_is_closed() {
    let (path, mut folder) = empty_folder("open");
    let file = folder.create("segment", 4096).unwrap();
    let other = Folder::existing(&path).unwrap();
    assert!(other.is_open("segment"));
    assert_eq!(other.read("segment").unwrap().len(), 4096, "readers do not need the lock");
    folder.close(file);
    assert!(!other.is_open("segment") && !other.is_open("another"));
}

#[test]
fn file_is_replaced_whatever_an_interrupted_replacement_left() {
    let (path, mut folder) = empty_folder("replace");
    folder.replace("manifest", &[1; 5000]).unwrap();
    std::fs::write(path.join("manifest.tmp"), [7; 9000]).unwrap();
    folder.replace("manifest", &[2; 100]).unwrap();
    assert_eq!(folder.read("manifest").unwrap(), [2; 100]);
    assert!(std::fs::metadata(path.join("manifest.tmp")).unwrap().len() >= 100, "room for the next one");
}

#[test]
fn lock_is_held_by_one_at_a_time() {
    let (path, mut folder) = empty_folder("lock");
    let mut other = Folder::existing(&path).unwrap();
    let held = folder.lock().unwrap();
    assert_eq!(other.lock().unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    drop(held);
    other.lock().unwrap();
}

/// Two processes of an upgrade write in one folder, and a reader finds the records of both.
#[test]
fn two_writers_list_their_segments_in_one_manifest() {
    let (path, _) = empty_folder("two");
    let options =
        || Options { segment_bytes: 4096, ..Options::new("n0", Mode::Power, OnFailure::RejectRequests) };
    let open = |generation| {
        let (writer, first_segment) = Writer::open(Folder::open(&path).unwrap(), options(), generation, 1);
        first_segment.unwrap();
        writer
    };
    let (mut old, mut new) = (open(1), open(2));
    for request in 0..200 {
        let id = format!("id-{request}");
        let (class, key) = ("pay".into(), String::new());
        let records = [Record::Taken { request, at: 1, id, class, key }, Record::Settled { request }];
        old.append(1, &records).unwrap();
        new.append(1, &records).unwrap();
    }
    old.close(2).unwrap();
    let mut shown = History::default();
    shown.add("two", &Folder::existing(&path).unwrap(), None).unwrap();
    assert_eq!(shown.requests().len(), 400);
    assert!(shown.is_complete(), "{:?}, {:?}", shown.faults, shown.notes);
    // A segment of the process that still runs is missed as well.
    let newest = std::fs::read_dir(&path).unwrap().map(|file| file.unwrap().path());
    let newest = newest.filter(|path| path.extension().is_some_and(|extension| extension == "seg")).max();
    std::fs::remove_file(newest.unwrap()).unwrap();
    let mut shown = History::default();
    shown.add("two", &Folder::existing(&path).unwrap(), None).unwrap();
    assert!(!shown.is_complete() && !shown.faults.is_empty());
}

/// A manifest that cannot be read is a fault like any other file, and hides nothing else.
#[test]
fn unreadable_manifest_is_reported_and_the_records_are_shown() {
    let (path, folder) = empty_folder("unreadable");
    let options = Options::new("n0", Mode::Process, OnFailure::RejectRequests);
    let (mut writer, _) = Writer::open(folder, Options { segment_bytes: 4096, ..options }, 1, 1);
    let (id, class, key) = ("a".into(), "pay".into(), String::new());
    writer.append(1, &[Record::Taken { request: 1, at: 1, id, class, key }]).unwrap();
    std::fs::remove_file(path.join("ledger.manifest")).unwrap();
    std::fs::create_dir(path.join("ledger.manifest")).unwrap();
    let mut shown = History::default();
    shown.add("unreadable", &Folder::existing(&path).unwrap(), None).unwrap();
    assert_eq!(shown.find("a").len(), 1);
    assert!(shown.faults.iter().any(|fault| fault.contains("manifest")) && !shown.is_complete());
}
