//! Reads and replaces the manifest of a folder. Several processes may change it, one at a time.

use crate::disk::Disk;
use crate::frame::FRAME_HEADER_LEN;
use crate::manifest::{Manifest, StoredManifest};
use crate::options::Options;
use crate::record::Millis;
use crate::segment::SEGMENT_HEADER_LEN;
use crate::segment_name::SegmentName;
use std::collections::BTreeSet;
use std::io;

/// The name of the manifest's file.
const FILE_NAME: &str = "ledger.manifest";

/// Reads the manifest of a folder.
///
/// # Errors
/// The file exists but cannot be read.
pub(crate) fn read<D: Disk>(disk: &D) -> io::Result<StoredManifest> {
    match disk.read(FILE_NAME) {
        Ok(bytes) => Ok(StoredManifest::decode(&bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(StoredManifest::Absent),
        Err(error) => Err(error),
    }
}

/// Prepares the manifest for a new generation, before its first segment is created. A folder without records gets a new
/// manifest; records that no manifest lists are noted.
///
/// # Errors
/// The manifest is locked for too long, or cannot be read or replaced.
pub(crate) fn prepare<D: Disk>(disk: &mut D, options: &Options, now: Millis) -> io::Result<()> {
    let _lock = disk.lock()?;
    let files = disk.list()?;
    let stored = read(disk)?;
    let manifest = match &stored {
        StoredManifest::Newer(_) => return Ok(()),
        StoredManifest::Absent => {
            Manifest::new(now, files.iter().any(|file| SegmentName::is_ledger_file(file)))
        }
        StoredManifest::Damaged => Manifest::new(now, true),
        StoredManifest::Intact(manifest) => {
            let segments: Vec<SegmentName> =
                files.iter().filter_map(|file| SegmentName::parse(file)).collect();
            let mut manifest = manifest.clone();
            manifest.has_unlisted_records =
                manifest.has_unlisted_records || has_unlisted_records(disk, &manifest, &segments);
            let present: BTreeSet<u64> = segments.iter().map(|name| name.generation).collect();
            manifest.forget_absent(&present, options, now);
            manifest
        }
    };
    replace(disk, &stored, manifest)
}

/// Changes the manifest. If it is absent or damaged, which it was not when this process prepared it, it no longer proves
/// anything about earlier records. A manifest of a later format version is left as it is: this program then proves
/// nothing, and a later program finds segments that are not listed.
///
/// # Errors
/// The manifest is locked for too long, or cannot be read or replaced.
pub(crate) fn update<D: Disk>(
    disk: &mut D, now: Millis, change: impl FnOnce(&mut Manifest),
) -> io::Result<()> {
    let _lock = disk.lock()?;
    let stored = read(disk)?;
    let mut manifest = match &stored {
        StoredManifest::Newer(_) => return Ok(()),
        StoredManifest::Absent | StoredManifest::Damaged => Manifest::new(now, true),
        StoredManifest::Intact(manifest) => manifest.clone(),
    };
    change(&mut manifest);
    replace(disk, &stored, manifest)
}

fn replace<D: Disk>(disk: &mut D, stored: &StoredManifest, manifest: Manifest) -> io::Result<()> {
    let bytes = manifest.encode();
    if *stored == StoredManifest::Intact(manifest) {
        return Ok(());
    }
    disk.replace(FILE_NAME, &bytes)
}

/// Returns whether a generation that is not listed may have records. Segments without a frame are what a process leaves
/// that ends before it lists its first segment.
fn has_unlisted_records<D: Disk>(disk: &D, manifest: &Manifest, segments: &[SegmentName]) -> bool {
    let mut unlisted = segments.iter().filter(|name| !manifest.generations.contains_key(&name.generation));
    unlisted.any(|name| may_have_frames(disk, *name))
}

/// Returns whether a frame was begun behind a segment's header, or the file cannot be read.
fn may_have_frames<D: Disk>(disk: &D, name: SegmentName) -> bool {
    let first_bytes = disk.read_at(&name.to_string(), SEGMENT_HEADER_LEN as u64, FRAME_HEADER_LEN);
    first_bytes.map_or(true, |bytes| bytes.iter().any(|byte| *byte != 0))
}
