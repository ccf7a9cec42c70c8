//! Lists the files of a folder together with its manifest, while other processes may change both.

use crate::disk::Disk;
use crate::manifest::StoredManifest;
use crate::manifest_file;
use crate::segment_name::SegmentName;
use std::io;

/// The number of times that a folder is listed because its manifest changed meanwhile.
const MAX_ATTEMPTS: usize = 10;

/// The segments of a folder and the manifest that was in force when they were listed.
pub(super) struct FolderContents {
    /// The file names of the segments, in the order of generation and number.
    pub(super) segments: Vec<String>,
    pub(super) manifest: StoredManifest,
}

impl FolderContents {
    /// Lists a folder. If its manifest keeps changing, the result may lack segments that the manifest lists.
    ///
    /// # Errors
    /// The folder cannot be listed.
    pub(super) fn read<D: Disk>(disk: &D) -> io::Result<FolderContents> {
        let read_manifest = || manifest_file::read(disk).unwrap_or(StoredManifest::Damaged);
        let mut manifest = read_manifest();
        let mut files = disk.list()?;
        for _ in 1..MAX_ATTEMPTS {
            let manifest_after = read_manifest();
            if manifest == manifest_after {
                break;
            }
            manifest = manifest_after;
            files = disk.list()?;
        }
        files.retain(|file| file.ends_with(".seg"));
        files.sort();
        Ok(FolderContents { segments: files, manifest })
    }
    /// Returns whether the manifest shows that no frame was written to a segment, because it does not list it.
    pub(super) fn is_unlisted(&self, file: &str) -> bool {
        let (StoredManifest::Intact(manifest), Some(name)) = (&self.manifest, SegmentName::parse(file))
        else {
            return false;
        };
        let entry = manifest.generations.get(&name.generation);
        entry.is_none_or(|entry| name.number > entry.newest_segment)
    }
}
