//! Checks the disk of a ledger on the file system.
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected results")]

use lotusdeck_ledger::{Disk, Folder};
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
