//! Reconstructs requests from the segments of one or more folders. Where records may be missing, the result is marked
//! as uncertain; what it reports as certain is correct.

mod folder_contents;
mod generation;
mod reconstruction;
mod request;

pub use request::{Attempt, AttemptOutcome, Request, SendState};

use crate::disk::Disk;
use crate::index::Index;
use crate::manifest::{Manifest, StoredManifest};
use crate::record::Millis;
use crate::segment::{read_segment, SegmentKind, SEGMENT_HEADER_LEN};
use crate::segment_name::SegmentName;
use folder_contents::FolderContents;
use generation::Generation;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// A folder that was added to a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddedFolder {
    /// The name under which it was added.
    pub name: String,
    /// The time from which its manifest lists records; `None` if it has no intact manifest.
    pub started_at: Option<Millis>,
}

/// The content of one or more folders, either all of it or only what a query for one id requires.
#[derive(Default)]
pub struct History {
    generations: BTreeMap<u64, Generation>,
    /// Messages for operators about content that is missing or cannot be read, and that may have contained requests.
    pub faults: Vec<String>,
    /// Messages for operators about records that are gone or unlisted without a fault, and that may have concerned
    /// requests which are not found.
    pub notes: Vec<String>,
    /// The folders that were added.
    pub folders: Vec<AddedFolder>,
    /// The number of segments that were read.
    pub segments_read: usize,
    /// The number of segments skipped because their index shows that they do not contain the queried id.
    pub segments_skipped: usize,
}

impl History {
    /// Adds a folder, whose faults are reported under `name`. With an id, segments whose index shows that they do not
    /// contain it are skipped, and only requests with that id may be queried afterwards.
    ///
    /// # Errors
    /// The folder cannot be listed. A file that cannot be read is reported as a fault instead.
    pub fn add<D: Disk>(&mut self, name: &str, disk: &D, id: Option<&str>) -> io::Result<()> {
        let contents = FolderContents::read(disk)?;
        let mut generations = BTreeSet::new();
        for (position, file) in contents.segments.iter().enumerate() {
            // The last segment of a generation is always read, because it shows how the generation ended.
            let next = contents.segments.get(position + 1);
            let is_last = next.is_none_or(|next| generation_id(next) != generation_id(file));
            let last_skipped = id.filter(|_| !is_last).and_then(|id| last_sequence_without(disk, file, id));
            let content = if last_skipped.is_some() {
                self.segments_skipped += 1;
                disk.read_at(file, 0, SEGMENT_HEADER_LEN)
            } else {
                self.segments_read += 1;
                disk.read(file)
            };
            let is_unlisted = contents.is_unlisted(file);
            match content {
                Ok(content) if is_unlisted && is_torn_header(&content) => {}
                Ok(content) => generations.extend(self.add_segment(name, file, &content, last_skipped)),
                Err(error) => self.faults.push(format!("{name}/{file}: {error}")),
            }
        }
        self.add_manifest(name, contents.manifest, &mut generations);
        self.report_missing(name, &generations);
        Ok(())
    }

    /// Adds what a folder's manifest shows about absent segments. Adds the generations that it lists to `generations`.
    fn add_manifest(&mut self, folder: &str, manifest: StoredManifest, generations: &mut BTreeSet<u64>) {
        let mut started_at = None;
        match manifest {
            StoredManifest::Intact(manifest) => {
                started_at = Some(manifest.started_at);
                self.note_gone_records(folder, &manifest);
                self.note_unlisted_generations(folder, &manifest, generations);
                generations.extend(manifest.generations.keys());
                for (id, entry) in manifest.generations {
                    self.generations.entry(id).or_default().add_entry(entry);
                }
            }
            StoredManifest::Absent => self.notes.push(format!(
                "{folder}: there is no manifest, so segments may have been deleted without a trace"
            )),
            StoredManifest::Newer(version) => self
                .faults
                .push(format!("{folder}: the manifest's format {version} is newer than this program")),
            StoredManifest::Damaged => {
                self.faults.push(format!("{folder}: the manifest cannot be read"));
            }
        }
        self.folders.push(AddedFolder { name: folder.into(), started_at });
    }

    /// Adds a note for each way in which records that the manifest does not list may have gone.
    fn note_gone_records(&mut self, folder: &str, manifest: &Manifest) {
        let Manifest { dropped_generations, lost_generations, .. } = manifest;
        if manifest.has_unlisted_records {
            self.notes.push(format!(
                "{folder}: it had records that no manifest lists, of which any may have been deleted"
            ));
        }
        if *dropped_generations > 0 {
            self.notes.push(format!(
                "{folder}: {dropped_generations} generations were deleted whole by their age or the folder's size"
            ));
        }
        if *lost_generations > 0 {
            self.notes.push(format!("{folder}: all segments of {lost_generations} generations were lost"));
        }
    }

    /// Adds a note for each of the `present` generations that has records and that the manifest does not list. An earlier
    /// version of the program wrote it, and may have written others that are gone.
    fn note_unlisted_generations(&mut self, folder: &str, manifest: &Manifest, present: &BTreeSet<u64>) {
        for id in present {
            let is_listed = manifest.generations.contains_key(id);
            if !is_listed && !self.generations.get(id).is_some_and(Generation::is_unused) {
                self.notes.push(format!("{folder}: generation {id:016x} is not listed in the manifest"));
            }
        }
    }

    /// Adds a segment. `last_skipped` is the sequence number of its last frame if its frames were not read. Returns the
    /// id of its generation, if it is known.
    fn add_segment(
        &mut self, folder: &str, file: &str, content: &[u8], last_skipped: Option<u64>,
    ) -> Option<u64> {
        let scan = read_segment(content);
        let length = content.len() as u64;
        for range in &scan.damaged {
            self.faults
                .push(format!("{folder}/{file}: bytes {} to {} cannot be read", range.start, range.end));
        }
        match &scan.kind {
            SegmentKind::Segment(header) => {
                let header = header.clone();
                let generation = self.generations.entry(header.generation).or_default();
                generation.add(&header, scan, length);
                if let Some(last) = last_skipped {
                    generation.skip(header.number, header.first_sequence..last + 1);
                }
                Some(header.generation)
            }
            SegmentKind::Blank => None,
            SegmentKind::Newer(version) => {
                self.faults.push(format!("{folder}/{file}: format {version} is newer than this program"));
                let SegmentName { generation, number } = SegmentName::parse(file)?;
                self.generations.entry(generation).or_default().add_unreadable(number, length);
                Some(generation)
            }
            SegmentKind::Damaged => {
                self.faults.push(format!("{folder}/{file}: its head cannot be read"));
                let SegmentName { generation, number } = SegmentName::parse(file)?;
                self.generations.entry(generation).or_default().add_without_header(number, scan, length);
                Some(generation)
            }
        }
    }

    /// Adds messages about the missing records of these generations.
    fn report_missing(&mut self, folder: &str, generations: &BTreeSet<u64>) {
        let listed = generations.iter().filter_map(|id| Some((id, self.generations.get(id)?)));
        for (id, generation) in listed {
            if generation.is_dropped() {
                self.notes.push(format!(
                    "{folder}: segments of generation {id:016x} were deleted by their age or the folder's size"
                ));
            }
            if let Some(part) = generation.lost_part() {
                self.faults.push(format!("{folder}: {part} of generation {id:016x} are missing"));
            }
            let missing = generation.count_missing();
            if missing > 0 {
                self.faults.push(format!("{folder}: {missing} records of generation {id:016x} are missing"));
            }
        }
    }

    /// Returns all requests, ordered by generation and by arrival.
    pub fn requests(&self) -> Vec<Request> {
        self.generations.iter().flat_map(|(id, generation)| generation.requests(*id)).collect()
    }

    /// Returns the requests with a correlation id, which may have been used more than once. An empty result proves that
    /// no such request was sent only if [`History::is_complete`] returns true.
    pub fn find(&self, id: &str) -> Vec<Request> {
        let mut found = self.requests();
        found.retain(|request| request.id == id);
        found
    }

    /// Returns whether no record is missing, so that a request that is not found was never sent by these proxies since
    /// their folders' manifests were started.
    pub fn is_complete(&self) -> bool {
        // A folder without a manifest proves nothing: it may be the wrong one.
        !self.folders.is_empty()
            && self.faults.is_empty()
            && self.notes.is_empty()
            && self.generations.values().all(Generation::is_complete)
    }
}

/// Returns whether a segment has no intact header and nothing behind it, as a kill leaves it while it is created.
fn is_torn_header(content: &[u8]) -> bool {
    read_segment(content).kind == SegmentKind::Damaged
        && content.iter().skip(SEGMENT_HEADER_LEN).all(|byte| *byte == 0)
}

/// Returns the generation according to a segment's file name.
fn generation_id(file: &str) -> Option<u64> {
    SegmentName::parse(file).map(|name| name.generation)
}

/// Returns the sequence number of the last frame of a segment whose index shows that it does not contain `id`, or
/// `None` if the segment must be read.
fn last_sequence_without<D: Disk>(disk: &D, file: &str, id: &str) -> Option<u64> {
    let bytes = disk.read(&SegmentName::parse(file)?.index()).ok()?;
    let index = Index::read(&bytes)?;
    (!index.contains(id)).then_some(index.last_sequence)
}
