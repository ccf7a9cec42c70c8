//! Assembles a generation, which is one run of one process, from its segments.

use super::reconstruction::Reconstruction;
use super::request::Request;
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
    /// The sequence numbers of skipped segments, whose records exist and concern other ids.
    skipped: Vec<Range<u64>>,
}

impl Generation {
    /// Adds a segment.
    pub(super) fn add(&mut self, header: &SegmentHeader, scan: Scan) {
        self.proxy.clone_from(&header.proxy);
        self.sends_unrecorded |= header.sends_unrecorded;
        self.first_sequences.push(header.first_sequence);
        // Damage inside a segment leaves a gap in the sequence numbers; damage at its end shows only here.
        self.is_torn |= scan.torn;
        self.add_frames(scan.frames);
    }

    /// Adds the frames of a segment whose header cannot be read.
    pub(super) fn add_without_header(&mut self, scan: Scan) {
        self.is_torn = true;
        self.add_frames(scan.frames);
    }

    /// Notes that a segment cannot be read at all.
    pub(super) fn add_unreadable(&mut self) {
        self.is_torn = true;
    }

    /// Notes that the frames with these sequence numbers were not read because none concerns the queried id.
    pub(super) fn skip(&mut self, sequences: Range<u64>) {
        self.skipped.push(sequences);
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
        self.missing().is_empty() && self.first_sequences.iter().min() == Some(&1)
    }

    /// Returns the number of records that are certainly missing.
    pub(super) fn count_missing(&self) -> u64 {
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
        let mut next = self.first_sequences.iter().min().copied().unwrap_or(1);
        for range in known {
            if range.start > next {
                missing.push(next..range.start);
            }
            next = next.max(range.end);
        }
        let is_later_segment_empty = self.first_sequences.iter().any(|first| *first > next);
        if !self.is_closed() && (self.is_torn || self.sends_unrecorded || is_later_segment_empty) {
            missing.push(next..u64::MAX);
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
