//! What the segments of one or more folders show of each request: certain where the records exist, uncertain where
//! records may be missing, never wrong.

mod generation;
mod reconstruction;
mod request;

pub use request::{Attempt, Fate, Request, Verdict};

use crate::disk::Disk;
use crate::index::{self, Index};
use crate::segment::{read_segment, SegmentKind, HEAD_LEN};
use generation::Generation;
use std::collections::BTreeMap;
use std::io;

/// The content of one or more folders, complete or only as far as one id requires.
#[derive(Default)]
pub struct History {
    generations: BTreeMap<u64, Generation>,
    /// What could not be read, as text for operators: requests in there are missing.
    pub faults: Vec<String>,
    /// Segments that were read.
    pub segments_read: usize,
    /// Segments that were skipped, as by their index they do not contain the wanted id.
    pub segments_skipped: usize,
}

impl History {
    /// Adds a folder; its faults are reported under `name`. With an id, segments whose index shows that they do not
    /// contain it are skipped, and only that request may be queried then.
    ///
    /// # Errors
    /// The folder cannot be listed. A file that cannot be read is a fault, not an error.
    pub fn add<D: Disk>(&mut self, name: &str, disk: &D, id: Option<&str>) -> io::Result<()> {
        let mut files = disk.list()?;
        files.retain(|file| file.ends_with(".seg"));
        files.sort();
        for (position, file) in files.iter().enumerate() {
            // The last segment of a generation shows how that ended: it is always read.
            let next = files.get(position + 1);
            let is_last = next.is_none_or(|next| generation_part(next) != generation_part(file));
            let skippable = id.filter(|_| !is_last).and_then(|id| last_sequence_without(disk, file, id));
            let content = if skippable.is_some() {
                self.segments_skipped += 1;
                disk.read_at(file, 0, HEAD_LEN)
            } else {
                self.segments_read += 1;
                disk.read(file)
            };
            match content {
                Ok(content) => self.add_segment(name, file, &content, skippable),
                Err(error) => self.faults.push(format!("{name}/{file}: {error}")),
            }
        }
        self.report_missing(name);
        Ok(())
    }

    /// Adds a segment; `last_skipped` is the sequence number of its last frame if its frames were not read.
    fn add_segment(&mut self, folder: &str, file: &str, content: &[u8], last_skipped: Option<u64>) {
        let scan = read_segment(content);
        for range in &scan.damaged {
            self.faults
                .push(format!("{folder}/{file}: bytes {} to {} cannot be read", range.start, range.end));
        }
        match &scan.kind {
            SegmentKind::Segment(header) => {
                let header = header.clone();
                let generation = self.generations.entry(header.generation).or_default();
                generation.add(&header, scan);
                if let Some(last) = last_skipped {
                    generation.skip(header.first_sequence..last + 1);
                }
            }
            SegmentKind::Blank => {}
            SegmentKind::Newer(version) => {
                self.faults.push(format!("{folder}/{file}: format {version} is newer than this program"));
                if let Some(id) = generation_id(file) {
                    self.generations.entry(id).or_default().add_unreadable();
                }
            }
            SegmentKind::Damaged => {
                self.faults.push(format!("{folder}/{file}: its head cannot be read"));
                if let Some(id) = generation_id(file) {
                    self.generations.entry(id).or_default().add_without_header(scan);
                }
            }
        }
    }

    /// Adds a fault for each generation with missing records.
    fn report_missing(&mut self, folder: &str) {
        for (id, generation) in &self.generations {
            let missing = generation.count_missing();
            if missing > 0 {
                self.faults.push(format!("{folder}: {missing} records of generation {id:016x} are missing"));
            }
        }
    }

    /// All requests, in the order of their generations and of their arrival.
    pub fn requests(&self) -> Vec<Request> {
        self.generations.iter().flat_map(|(id, generation)| generation.requests(*id)).collect()
    }

    /// The requests of a correlation id, which may have been used more than once. If there is none, that proves that
    /// it was never sent only if the history is [`History::is_complete`].
    pub fn find(&self, id: &str) -> Vec<Request> {
        let mut found = self.requests();
        found.retain(|request| request.id == id);
        found
    }

    /// Whether no record is missing anywhere: what is not found was never sent by these proxies.
    pub fn is_complete(&self) -> bool {
        // An empty folder proves nothing: it may be the wrong one.
        !self.generations.is_empty()
            && self.faults.is_empty()
            && self.generations.values().all(Generation::is_complete)
    }
}

/// The part of a segment's file name that names its generation, in hexadecimal.
fn generation_part(file: &str) -> Option<&str> {
    file.split('-').nth(1)
}

/// The generation by the file name, for a segment whose header does not show it.
fn generation_id(file: &str) -> Option<u64> {
    let (generation, _number) = file.strip_prefix("ledger-")?.split_once('-')?;
    u64::from_str_radix(generation, 16).ok()
}

/// The sequence number of the last frame of a segment which by its index does not contain `id`; `None` if the segment
/// has to be read.
fn last_sequence_without<D: Disk>(disk: &D, file: &str, id: &str) -> Option<u64> {
    let bytes = disk.read(&index::file_name(file)).ok()?;
    let index = Index::read(&bytes)?;
    (!index.contains(id)).then_some(index.last)
}
