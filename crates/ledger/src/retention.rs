//! Deletes sealed segments that are too old or exceed the total size.

use crate::disk::Disk;
use crate::manifest_file;
use crate::options::Options;
use crate::record::{Millis, Record};
use crate::segment::{read_segment, LocatedFrame, Scan, SegmentKind, SEGMENT_HEADER_LEN};
use crate::segment_name::SegmentName;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// A segment that is no longer written.
pub(crate) struct SealedSegment {
    /// The name of its file.
    pub(crate) name: SegmentName,
    /// The size that counts towards the total, bytes.
    pub(crate) bytes: u64,
    /// The time of the newest record, or a later time.
    pub(crate) newest_at: Millis,
    /// The unfinished requests of this generation whose arrival is recorded in the segment.
    pub(crate) open_requests: BTreeSet<u64>,
    /// Whether it may contain requests of an earlier generation that will never finish.
    pub(crate) has_unresolved: bool,
    /// Whether anything may have been written behind its header.
    pub(crate) may_have_frames: bool,
}

impl SealedSegment {
    /// Creates the entry of an earlier generation's segment from its content.
    fn inherited(name: SegmentName, content: &[u8], now: Millis) -> SealedSegment {
        let scan = read_segment(content);
        let records = InheritedRecords::of(&scan, now);
        SealedSegment {
            name,
            bytes: content.len() as u64, // reserved space counts, written or not
            newest_at: records.newest_at,
            open_requests: BTreeSet::new(),
            has_unresolved: !records.open_requests.is_empty() || !scan.damaged.is_empty(),
            may_have_frames: content.iter().skip(SEGMENT_HEADER_LEN).any(|byte| *byte != 0),
        }
    }

    fn may_be_deleted(&self, options: &Options, total_bytes: u64, now: Millis) -> bool {
        let age = now.saturating_sub(self.newest_at);
        let is_resolved = self.open_requests.is_empty() && !self.has_unresolved;
        let is_surplus = age >= options.keep || total_bytes > options.keep_bytes;
        is_surplus && is_resolved || age >= options.keep_unresolved
    }
}

/// A summary of the records in an earlier generation's segment.
struct InheritedRecords {
    newest_at: Millis,
    open_requests: BTreeSet<u64>,
}

impl InheritedRecords {
    fn of(scan: &Scan, now: Millis) -> InheritedRecords {
        let started_at = match &scan.kind {
            SegmentKind::Segment(header) => header.started_at,
            _ => now,
        };
        let mut records = InheritedRecords { newest_at: started_at, open_requests: BTreeSet::new() };
        for LocatedFrame { frame, .. } in &scan.frames {
            records.apply(&frame.record);
        }
        records
    }

    fn apply(&mut self, record: &Record) {
        match record {
            Record::Taken { request, at, .. } => {
                self.open_requests.insert(*request);
                self.newest_at = self.newest_at.max(*at);
            }
            Record::Intent { at, .. } | Record::Ended { at, .. } => {
                self.newest_at = self.newest_at.max(*at);
            }
            Record::Settled { request } => {
                self.open_requests.remove(request);
            }
            Record::Gap { .. } | Record::Closed { .. } => {}
        }
    }
}

/// The sealed segments of a folder.
#[derive(Default)]
pub(crate) struct Retention {
    /// Segments of this generation, by number.
    own: BTreeMap<u32, SealedSegment>,
    /// Segments of earlier generations; `None` until the first segment is sealed, because reading them at the start
    /// would delay it.
    inherited: Option<Vec<SealedSegment>>,
    /// The names of the segments deleted since the last [`Retention::take_deleted`].
    deleted: Vec<String>,
}

impl Retention {
    /// Adds a segment of this generation.
    pub(crate) fn add(&mut self, number: u32, segment: SealedSegment) {
        self.own.insert(number, segment);
    }

    /// Marks a request, whose arrival is recorded in `segment`, as finished.
    pub(crate) fn request_finished(&mut self, request: u64, segment: u32) {
        if let Some(segment) = self.own.get_mut(&segment) {
            segment.open_requests.remove(&request);
        }
    }

    /// Deletes segments that are too old or exceed the total size, the oldest first, up to the first that must be kept.
    pub(crate) fn delete_surplus<D: Disk>(
        &mut self, disk: &mut D, options: &Options, own_generation: u64, now: Millis,
    ) {
        if self.inherited.is_none() {
            self.inherited = Some(read_inherited(disk, own_generation, now));
        }
        let surplus = self.surplus(options, now);
        if surplus.is_empty() {
            return;
        }
        // A reader must not take the absence of a segment for a proof. While that cannot be recorded, all are kept.
        let recorded = manifest_file::update(disk, now, |manifest| {
            for segment in &surplus {
                manifest.drop_segment(segment.name, segment.may_have_frames);
            }
        });
        if recorded.is_ok() {
            let names: Vec<SegmentName> = surplus.iter().map(|segment| segment.name).collect();
            self.forget(&names);
            self.delete(disk, &names);
        }
    }

    /// Deletes segments, in this order. If one cannot be deleted, the later ones of its generation stay, too: without them
    /// it would show less than what happened. The next process tries again.
    fn delete<D: Disk>(&mut self, disk: &mut D, names: &[SegmentName]) {
        let mut undeleted_generations = BTreeSet::new();
        for name in names {
            if undeleted_generations.contains(&name.generation) {
                continue;
            }
            match disk.remove(&name.to_string()) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => {
                    undeleted_generations.insert(name.generation);
                }
                Ok(()) | Err(_) => {
                    let _ = disk.remove(&name.index()); // without its segment, an index is not read
                    self.deleted.push(name.to_string());
                }
            }
        }
    }

    /// Returns the segments to delete, in the order of their age. Those of earlier generations come first.
    fn surplus(&self, options: &Options, now: Millis) -> Vec<&SealedSegment> {
        let oldest_first = || self.inherited.iter().flatten().chain(self.own.values());
        let mut total_bytes: u64 = oldest_first().map(|segment| segment.bytes).sum();
        let mut surplus = Vec::new();
        for segment in oldest_first() {
            if !segment.may_be_deleted(options, total_bytes, now) {
                break;
            }
            total_bytes -= segment.bytes;
            surplus.push(segment);
        }
        surplus
    }

    /// Removes segments that are about to be deleted from the lists.
    fn forget(&mut self, names: &[SegmentName]) {
        let names: BTreeSet<SegmentName> = names.iter().copied().collect();
        self.inherited.iter_mut().for_each(|inherited| {
            inherited.retain(|segment| !names.contains(&segment.name));
        });
        self.own.retain(|_, segment| !names.contains(&segment.name));
    }

    /// Returns the names of the segments deleted since the last call.
    pub(crate) fn take_deleted(&mut self) -> Vec<String> {
        std::mem::take(&mut self.deleted)
    }
}

/// Reads the segments of earlier generations, which may contain requests that will never finish. Returns them in the
/// order of their age.
fn read_inherited<D: Disk>(disk: &D, own_generation: u64, now: Millis) -> Vec<SealedSegment> {
    let files = disk.list().unwrap_or_default();
    let mut names: Vec<SegmentName> = files.iter().filter_map(|file| SegmentName::parse(file)).collect();
    // What another process still writes may get requests that are not resolved. A later process reads it.
    names.retain(|name| name.generation != own_generation && !disk.is_open(&name.to_string()));
    names.sort();
    let read = |name: SegmentName| {
        let content = disk.read(&name.to_string()).ok()?;
        Some(SealedSegment::inherited(name, &content, now))
    };
    let mut inherited: Vec<SealedSegment> = names.into_iter().filter_map(read).collect();
    order_times_by_number(&mut inherited);
    inherited.sort_by_key(|segment| segment.newest_at); // stable: in a generation, the order is that of the numbers
    inherited
}

/// Makes no segment appear older than an earlier one of its generation: its clock may have been set back, and not all
/// records have a time. Without its later segments, an earlier one would show less than what happened. The segments are
/// in the order of their names.
fn order_times_by_number(segments: &mut [SealedSegment]) {
    for position in 1..segments.len() {
        let (earlier, later) = segments.split_at_mut(position);
        let (previous, segment) = (&earlier[position - 1], &mut later[0]);
        if previous.name.generation == segment.name.generation {
            segment.newest_at = segment.newest_at.max(previous.newest_at);
        }
    }
}
