//! The requests of a generation that have not finished.

use crate::index;
use crate::record::Record;
use std::collections::{BTreeSet, HashMap};

/// A request that has not finished.
#[derive(Clone, Copy)]
pub(crate) struct OpenRequest {
    /// The hash of its correlation id.
    pub(crate) id_hash: u64,
    /// The number of the segment that records its arrival.
    pub(crate) segment: u32,
}

/// The requests that have not finished, by number.
#[derive(Default)]
pub(crate) struct OpenRequests(HashMap<u64, OpenRequest>);

impl OpenRequests {
    /// Applies a record that was written to a segment. Returns the request that it concerns, if it is or was open.
    pub(crate) fn apply(&mut self, record: &Record, segment: u32) -> Option<OpenRequest> {
        match record {
            Record::Taken { request, id, .. } => {
                let open = OpenRequest { id_hash: index::hash(id), segment };
                self.0.insert(*request, open);
                Some(open)
            }
            Record::Settled { request } => self.0.remove(request),
            Record::Intent { request, .. } | Record::Ended { request, .. } => self.0.get(request).copied(),
            Record::Gap { .. } | Record::Closed { .. } => None,
        }
    }

    /// Returns the numbers of the requests whose arrival is recorded in a segment.
    pub(crate) fn received_in(&self, segment: u32) -> BTreeSet<u64> {
        self.0.iter().filter(|(_, open)| open.segment == segment).map(|(request, _)| *request).collect()
    }
}
