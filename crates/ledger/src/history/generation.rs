//! Assembles a generation, which is one run of one process, from its segments.

use super::reconstruction::Reconstruction;
use super::request::Request;
use crate::manifest::GenerationEntry;
use crate::record::Record;
use crate::segment::{LocatedFrame, Scan, SegmentHeader};
use std::collections::BTreeMap;
use std::ops::Range;

/// The records of a generation and the evidence of missing ones.
#[derive(Default)]
pub(super) struct Generation {
    proxy: String,
    records: BTreeMap<u64, Record>,
    /// The sequence number of the first frame of each segment.
    first_sequences: Vec<u64>,
    /// Whether requests may have been sent while no record could be written.
    sends_unrecorded: bool,
    /// Whether a segment ends with damaged bytes or its header cannot be read, so that any number of records may be
    /// missing.
    is_torn: bool,
    /// The lengths of its segments in bytes, by their numbers.
    segment_lengths: BTreeMap<u32, u64>,
    /// Its entry in a manifest; `None` if no manifest lists it.
    entry: Option<GenerationEntry>,
    /// The sequence numbers of skipped segments, whose records exist and concern other ids.
    skipped: Vec<Range<u64>>,
}

impl Generation {
    /// Adds a segment whose file has `length` bytes.
    pub(super) fn add(&mut self, header: &SegmentHeader, scan: Scan, length: u64) {
        let known_length = self.segment_lengths.entry(header.number).or_default();
        *known_length = length.max(*known_length);
        self.proxy.clone_from(&header.proxy);
        self.sends_unrecorded |= header.sends_unrecorded;
        self.first_sequences.push(header.first_sequence);
        // Damage inside a segment leaves a gap in the sequence numbers; damage at its end shows only here.
        self.is_torn |= scan.torn;
        self.add_frames(scan.frames);
    }

    /// Adds the frames of a segment whose header cannot be read.
    pub(super) fn add_without_header(&mut self, number: u32, scan: Scan, length: u64) {
        self.is_torn = true;
        self.segment_lengths.insert(number, length);
        self.add_frames(scan.frames);
    }

    /// Notes that a segment cannot be read at all.
    pub(super) fn add_unreadable(&mut self, number: u32, length: u64) {
        self.is_torn = true;
        self.segment_lengths.insert(number, length);
    }

    /// Adds its entry in a manifest.
    pub(super) fn add_entry(&mut self, entry: GenerationEntry) {
        match &mut self.entry {
            Some(known) => known.merge(&entry),
            None => self.entry = Some(entry),
        }
    }

    /// Notes that the frames of a segment, which have these sequence numbers according to its index, were not read because
    /// none concerns the queried id.
    pub(super) fn skip(&mut self, number: u32, sequences: Range<u64>) {
        self.skipped.push(sequences);
        // The index proves what the segment contains, whatever the length of its file is.
        self.segment_lengths.insert(number, u64::MAX);
    }

    fn add_frames(&mut self, frames: Vec<LocatedFrame>) {
        self.records.extend(frames.into_iter().map(|located| (located.frame.sequence, located.frame.record)));
    }

    /// Returns whether the last record shows a graceful shutdown.
    fn is_closed(&self) -> bool {
        self.records.values().next_back().is_some_and(|record| matches!(record, Record::Closed { .. }))
    }

    /// Returns whether no record is missing, from the first to the last.
    pub(super) fn is_complete(&self) -> bool {
        self.missing().is_empty() && self.first_sequence() == Some(1)
    }

    /// Returns the sequence number of the first frame of its oldest segment.
    fn first_sequence(&self) -> Option<u64> {
        self.first_sequences.iter().min().copied()
    }

    /// Returns whether retention deleted its first segments, or all of them.
    pub(super) fn is_dropped(&self) -> bool {
        let may_be_dropped = self.entry.as_ref().is_some_and(|entry| entry.oldest_kept > 0);
        may_be_dropped && self.first_sequence() != Some(1)
    }

    /// Names the segments that are missing at its beginning or end for another reason than retention.
    pub(super) fn lost_part(&self) -> Option<&'static str> {
        let entry = self.entry.as_ref();
        if entry.is_some_and(GenerationEntry::is_dropped) {
            None
        } else if self.segment_lengths.is_empty() {
            Some("all segments")
        } else if self.first_sequence().is_some_and(|first| first > 1) && !self.is_dropped() {
            Some("the first segments")
        } else if entry.is_some() && !self.is_closed() && !self.has_newest_segment() {
            Some("the last segments")
        } else {
            None
        }
    }

    /// Returns whether the newest segment is present and has its whole length, so that no record behind the last one is
    /// missing.
    fn has_newest_segment(&self) -> bool {
        let Some((number, length)) = self.segment_lengths.last_key_value() else { return false };
        match &self.entry {
            Some(entry) => *number >= entry.newest_segment && *length >= entry.segment_bytes,
            None => self.is_unused(),
        }
    }

    /// Returns whether nothing was ever recorded: a process that ends before the manifest lists its first segment leaves
    /// only segments without a frame.
    pub(super) fn is_unused(&self) -> bool {
        let has_lost_records = self.is_torn || self.first_sequences.iter().any(|first| *first != 1);
        self.records.is_empty() && self.skipped.is_empty() && !has_lost_records
    }

    /// Returns the number of records that are certainly missing for another reason than retention.
    pub(super) fn count_missing(&self) -> u64 {
        if self.entry.as_ref().is_some_and(GenerationEntry::is_dropped) {
            return 0;
        }
        let bounded = self.missing().into_iter().filter(|range| range.end < u64::MAX);
        bounded.map(|range| range.end - range.start).sum()
    }

    /// Returns the sequence numbers of records that may be missing. The last range may be unbounded.
    fn missing(&self) -> Vec<Range<u64>> {
        let mut known: Vec<Range<u64>> =
            self.records.keys().map(|sequence| *sequence..sequence + 1).collect();
        known.extend(self.skipped.iter().cloned());
        known.sort_by_key(|range| range.start);
        let mut missing = Vec::new();
        let mut next = self.first_sequence().unwrap_or(1);
        for range in known {
            if range.start > next {
                missing.push(next..range.start);
            }
            next = next.max(range.end);
        }
        let is_later_segment_empty = self.first_sequences.iter().any(|first| *first > next);
        let may_continue =
            self.is_torn || self.sends_unrecorded || is_later_segment_empty || !self.has_newest_segment();
        let end = self.entry.as_ref().and_then(|entry| entry.last_sequence).map_or(u64::MAX, |last| last + 1);
        if !self.is_closed() && may_continue && next < end {
            missing.push(next..end);
        }
        missing
    }

    /// Reconstructs the requests of the generation, in the order of their arrival.
    pub(super) fn requests(&self, id: u64) -> Vec<Request> {
        let missing = self.missing();
        let mut reconstructions: BTreeMap<u64, Reconstruction> = BTreeMap::new();
        for (sequence, record) in &self.records {
            let Some(number) = record.request() else { continue };
            let reconstruction = reconstructions
                .entry(number)
                .or_insert_with(|| Reconstruction::new(&self.proxy, id, *sequence));
            reconstruction.apply(*sequence, record);
        }
        reconstructions.into_values().map(|reconstruction| reconstruction.finish(&missing)).collect()
    }
}
