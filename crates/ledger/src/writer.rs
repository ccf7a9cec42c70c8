//! Appends records to segments. A writer is owned by one thread; it neither reads a clock nor starts a thread.

mod segment_creation;

use crate::disk::Disk;
use crate::frame::encode;
use crate::index;
use crate::manifest_file;
use crate::open_requests::OpenRequests;
use crate::options::{Mode, Options};
use crate::record::{Millis, Record};
use crate::retention::{Retention, SealedSegment};
use crate::segment::SEGMENT_HEADER_LEN;
use crate::segment_name::SegmentName;
use std::collections::BTreeSet;
use std::io;
use thiserror::Error;

/// The reason why records are not as durable as the mode requires.
#[derive(Debug, Error)]
pub enum WriteError {
    /// The disk failed, or its last failure is too recent to try again. Whether the records survive is unknown.
    #[error("cannot write to the disk: {0}")]
    Disk(#[from] io::Error),
}

/// The time from a failure to the next attempt to create a segment, ms.
const RETRY_INTERVAL: Millis = 500;
/// The estimated length of a frame in bytes, for the capacity of buffers.
const TYPICAL_FRAME_BYTES: usize = 160;

/// One run of one process.
struct Generation {
    id: u64,
    started_at: Millis,
}

/// The segment that is being written.
struct OpenSegment<F> {
    file: F,
    name: SegmentName,
    /// Bytes written so far, including the header.
    length: u64,
    /// The hashes of the correlation ids in the segment.
    id_hashes: BTreeSet<u64>,
}

/// Records lost since the last successful write.
#[derive(Clone, Copy)]
struct LostRecords {
    since: Millis,
    count: u64,
}

/// Counts of what was written so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteCounts {
    /// Syncs of segments.
    pub syncs: u64,
    /// Bytes of frames in segments.
    pub bytes: u64,
}

/// Writes the segments of one generation.
pub struct Writer<D: Disk> {
    disk: D,
    options: Options,
    generation: Generation,
    next_segment: u32,
    /// The sequence number of the last record, written or lost.
    sequence: u64,
    open_segment: Option<OpenSegment<D::File>>,
    /// The time before which a failed segment is not replaced by a new one.
    retry_at: Millis,
    lost: Option<LostRecords>,
    open_requests: OpenRequests,
    retention: Retention,
    counts: WriteCounts,
    has_manifest: bool,
    has_segment: bool,
}

impl<D: Disk> Writer<D> {
    /// Begins a generation. If its first segment cannot be created, returns the error together with the writer, which
    /// tries again when records are appended.
    pub fn open(
        disk: D, options: Options, generation: u64, now: Millis,
    ) -> (Writer<D>, Result<(), WriteError>) {
        let mut writer = Writer {
            disk,
            options,
            generation: Generation { id: generation, started_at: now },
            next_segment: 0,
            sequence: 0,
            open_segment: None,
            retry_at: 0,
            lost: None,
            open_requests: OpenRequests::default(),
            retention: Retention::default(),
            counts: WriteCounts::default(),
            has_manifest: false,
            has_segment: false,
        };
        let first_segment = writer.begin_segment(now);
        (writer, first_segment.map_err(WriteError::from))
    }

    /// Writes records as durably as the mode requires. A single write contains all of them.
    ///
    /// # Errors
    /// The disk failed. Which of the records the segment contains is then unknown, so nothing more is written to it,
    /// and the records' sequence numbers are not used again.
    pub fn append(&mut self, now: Millis, records: &[Record]) -> Result<(), WriteError> {
        let written = self.try_append(now, records);
        if written.is_err() {
            self.abandon_segment(now);
            self.record_lost(now, records.len() as u64);
        }
        written
    }

    /// Counts lost records, whose requests may have been sent. The next successful write records the gap.
    pub fn record_lost(&mut self, now: Millis, records: u64) {
        let lost = self.lost.get_or_insert(LostRecords { since: now, count: 0 });
        lost.count += records;
        self.sequence += records;
    }

    fn try_append(&mut self, now: Millis, records: &[Record]) -> Result<(), WriteError> {
        if self.open_segment.is_none() {
            if now < self.retry_at {
                return Err(WriteError::Disk(io::Error::other(
                    "no segment is open, and the next attempt to create one is not due yet",
                )));
            }
            self.begin_segment(now)?;
        }
        let gap = self.lost.map(|lost| Record::Gap { from: lost.since, to: now, records: lost.count });
        let mut bytes = Vec::with_capacity(records.len() * TYPICAL_FRAME_BYTES);
        let mut sequence = self.sequence;
        for record in gap.iter().chain(records) {
            sequence += 1;
            encode(sequence, record, &mut bytes);
        }
        if self.is_full_for(bytes.len() as u64) {
            self.seal_segment(now);
            self.begin_segment(now)?;
        }
        let Some(open) = self.open_segment.as_mut() else { return Ok(()) };
        if gap.is_some() {
            // Its frame may reach the disk even if this fails, as those of the records may, which the caller counts then.
            self.sequence += 1;
        }
        self.disk.write(&mut open.file, open.length, &bytes)?;
        if self.options.mode == Mode::Power {
            self.disk.sync(&mut open.file)?;
            self.counts.syncs += 1;
        }
        open.length += bytes.len() as u64;
        self.counts.bytes += bytes.len() as u64;
        self.sequence = sequence;
        self.lost = None;
        records.iter().for_each(|record| self.track_written(record));
        Ok(())
    }

    /// Returns whether the open segment contains frames and has no space for another `bytes` bytes.
    fn is_full_for(&self, bytes: u64) -> bool {
        let Some(open) = &self.open_segment else { return false };
        open.length > SEGMENT_HEADER_LEN as u64 && open.length + bytes > self.options.segment_bytes
    }

    /// Updates the index and the open requests with a record that was written.
    fn track_written(&mut self, record: &Record) {
        let Some(open) = self.open_segment.as_mut() else { return };
        if let Some(id) = record.id() {
            open.id_hashes.insert(index::hash(id));
        }
        if let Some(concerned) = self.open_requests.apply(record, open.name.number) {
            open.id_hashes.insert(concerned.id_hash);
            if let Record::Settled { request } = record {
                self.retention.request_finished(*request, concerned.segment);
            }
        }
    }

    /// Closes the open segment, writes its index and deletes surplus segments.
    fn seal_segment(&mut self, now: Millis) {
        let Some(open) = self.open_segment.take() else { return };
        let bytes = index::encode(&open.id_hashes, self.sequence);
        // Errors are ignored: a segment without an index is read in full.
        if let Ok(mut file) = self.disk.create(&open.name.index(), 0) {
            let _ = self.disk.write(&mut file, 0, &bytes);
            self.disk.close(file);
        }
        self.retain_segment(open, now);
        self.retention.delete_surplus(&mut self.disk, &self.options, self.generation.id, now);
    }

    /// Closes the open segment after a failure, without an index.
    fn abandon_segment(&mut self, now: Millis) {
        if let Some(open) = self.open_segment.take() {
            self.retain_segment(open, now);
        }
        self.retry_at = now + RETRY_INTERVAL;
    }

    fn retain_segment(&mut self, open: OpenSegment<D::File>, now: Millis) {
        let number = open.name.number;
        let sealed = SealedSegment {
            name: open.name,
            bytes: open.length,
            newest_at: now,
            open_requests: self.open_requests.received_in(number),
            has_unresolved: false,
            may_have_frames: true,
        };
        self.retention.add(number, sealed);
        self.disk.close(open.file);
    }

    /// Ends the generation gracefully.
    ///
    /// # Errors
    /// The disk failed. To readers, the process then appears to have crashed.
    pub fn close(&mut self, now: Millis) -> Result<(), WriteError> {
        self.append(now, &[Record::Closed { at: now }])?;
        let (generation, last_sequence) = (self.generation.id, self.sequence);
        // An error is ignored: the record that was just written shows the same as long as it can be read.
        let _ = manifest_file::update(&mut self.disk, now, |manifest| {
            manifest.close(generation, last_sequence);
        });
        self.seal_segment(now);
        Ok(())
    }

    /// Returns the names of the segments deleted since the last call, for the log.
    pub fn take_deleted(&mut self) -> Vec<String> {
        self.retention.take_deleted()
    }

    /// Returns whether no segment is open or records were lost since the last successful write.
    pub fn is_failing(&self) -> bool {
        self.open_segment.is_none() || self.lost.is_some()
    }

    /// Returns whether the generation has a segment on the disk, whose header shows readers whether requests may have
    /// been sent unrecorded.
    pub fn has_segment(&self) -> bool {
        self.has_segment
    }

    /// Returns counts of what was written so far.
    pub fn write_counts(&self) -> WriteCounts {
        self.counts
    }

    /// Returns the free space of the disk in bytes, or `None` if it is unknown.
    pub fn free_bytes(&self) -> Option<u64> {
        self.disk.free().ok()
    }
}
