//! Creates the segments of a writer and lists them in the manifest.

use super::{OpenSegment, Writer, RETRY_INTERVAL};
use crate::disk::Disk;
use crate::manifest_file;
use crate::options::{Mode, OnFailure};
use crate::record::Millis;
use crate::segment::{SegmentHeader, SEGMENT_HEADER_LEN};
use crate::segment_name::SegmentName;
use std::collections::BTreeSet;
use std::io;

impl<D: Disk> Writer<D> {
    /// Creates the next segment, and the manifest before the first one.
    pub(super) fn begin_segment(&mut self, now: Millis) -> io::Result<()> {
        self.retry_at = now + RETRY_INTERVAL;
        if !self.has_manifest {
            manifest_file::prepare(&mut self.disk, &self.options, now)?;
            self.has_manifest = true;
        }
        let name = SegmentName { generation: self.generation.id, number: self.next_segment };
        let file = self.create_segment(name, now).inspect_err(|error| self.discard_segment(name, error))?;
        self.next_segment += 1;
        self.has_segment = true;
        let length = SEGMENT_HEADER_LEN as u64;
        self.open_segment = Some(OpenSegment { file, name, length, id_hashes: BTreeSet::new() });
        Ok(())
    }

    /// Creates a segment, writes its header and lists it in the manifest. No frame may be written before that: a reader
    /// could not notice its absence.
    fn create_segment(&mut self, name: SegmentName, now: Millis) -> io::Result<D::File> {
        let segment_bytes = self.options.segment_bytes;
        let started_at = self.generation.started_at;
        let mut file = self.disk.create(&name.to_string(), segment_bytes)?;
        self.disk.write(&mut file, 0, &self.segment_header(name.number).encode())?;
        if self.options.mode == Mode::Power {
            self.disk.sync(&mut file)?;
            self.counts.syncs += 1;
        }
        manifest_file::update(&mut self.disk, now, |manifest| {
            manifest.add_segment(name, started_at, segment_bytes);
        })?;
        Ok(file)
    }

    fn segment_header(&self, number: u32) -> SegmentHeader {
        SegmentHeader {
            proxy: self.options.proxy.clone(),
            generation: self.generation.id,
            started_at: self.generation.started_at,
            number,
            first_sequence: self.sequence + 1,
            sends_unrecorded: self.options.on_failure == OnFailure::SendUnrecorded,
        }
    }

    /// Deletes a segment that could not be created completely. If its file remains, its number is not used again.
    fn discard_segment(&mut self, name: SegmentName, error: &io::Error) {
        let is_file_absent = error.kind() != io::ErrorKind::AlreadyExists
            && match self.disk.remove(&name.to_string()) {
                Ok(()) => true,
                Err(error) => error.kind() == io::ErrorKind::NotFound,
            };
        if !is_file_absent {
            self.next_segment += 1;
        }
    }
}
