//! Reconstructs requests from the segments of one or more folders. Where records may be missing, the result is marked
//! as uncertain; what it reports as certain is correct.

mod generation;
mod reconstruction;
mod request;

pub use request::{Attempt, AttemptOutcome, Request, SendState};

use crate::disk::Disk;
use crate::index::{self, Index};
use crate::segment::{read_segment, SegmentKind, SEGMENT_HEADER_LEN};
use generation::Generation;
use std::collections::BTreeMap;
use std::io;

/// The content of one or more folders, either all of it or only what a query for one id requires.
#[derive(Default)]
pub struct History {
    generations: BTreeMap<u64, Generation>,
    /// Messages for operators about content that is missing or cannot be read, and that may have contained requests.
    pub faults: Vec<String>,
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
        let mut files = disk.list()?;
        files.retain(|file| file.ends_with(".seg"));
        files.sort();
        for (position, file) in files.iter().enumerate() {
            // The last segment of a generation is always read, because it shows how the generation ended.
            let next = files.get(position + 1);
            let is_last = next.is_none_or(|next| generation_part(next) != generation_part(file));
            let last_skipped = id.filter(|_| !is_last).and_then(|id| last_sequence_without(disk, file, id));
            let content = if last_skipped.is_some() {
                self.segments_skipped += 1;
                disk.read_at(file, 0, SEGMENT_HEADER_LEN)
            } else {
                self.segments_read += 1;
                disk.read(file)
            };
            match content {
                Ok(content) => self.add_segment(name, file, &content, last_skipped),
                Err(error) => self.faults.push(format!("{name}/{file}: {error}")),
            }
        }
        self.report_missing(name);
        Ok(())
    }

    /// Adds a segment. `last_skipped` is the sequence number of its last frame if its frames were not read.
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

    /// Returns whether no record is missing, so that a request that is not found was never sent by these proxies.
    pub fn is_complete(&self) -> bool {
        // An empty folder proves nothing: it may be the wrong one.
        !self.generations.is_empty()
            && self.faults.is_empty()
            && self.generations.values().all(Generation::is_complete)
    }
}

/// Returns the part of a segment's file name that contains its generation in hexadecimal.
fn generation_part(file: &str) -> Option<&str> {
    file.split('-').nth(1)
}

/// Parses the generation from the file name, for a segment whose header does not show it.
fn generation_id(file: &str) -> Option<u64> {
    let (generation, _number) = file.strip_prefix("ledger-")?.split_once('-')?;
    u64::from_str_radix(generation, 16).ok()
}

/// Returns the sequence number of the last frame of a segment whose index shows that it does not contain `id`, or
/// `None` if the segment must be read.
fn last_sequence_without<D: Disk>(disk: &D, file: &str, id: &str) -> Option<u64> {
    let bytes = disk.read(&index::file_name(file)).ok()?;
    let index = Index::read(&bytes)?;
    (!index.contains(id)).then_some(index.last_sequence)
}
