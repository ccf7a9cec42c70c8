//! Reconstructs a request from its records.

use super::request::{Attempt, AttemptOutcome, Request};
use crate::record::{End, Record};
use std::ops::Range;

/// A request as shown by the records applied so far.
pub(super) struct Reconstruction {
    request: Request,
    /// The range of sequence numbers that its records may have, from its arrival to its final answer.
    span: Range<u64>,
}

impl Reconstruction {
    /// Creates a request whose first record has the sequence number `first_sequence`.
    pub(super) fn new(proxy: &str, generation: u64, first_sequence: u64) -> Reconstruction {
        let request = Request {
            id: String::new(),
            class: String::new(),
            key: String::new(),
            taken_at: None,
            proxy: proxy.into(),
            generation,
            attempts: Vec::new(),
            is_uncertain: false,
            is_finished: false,
        };
        Reconstruction { request, span: first_sequence..u64::MAX }
    }

    /// Applies a record. Records must be applied in the order of their sequence numbers.
    pub(super) fn apply(&mut self, sequence: u64, record: &Record) {
        match record {
            Record::Taken { at, id, class, key, .. } => {
                self.request.id.clone_from(id);
                self.request.class.clone_from(class);
                self.request.key.clone_from(key);
                self.request.taken_at = Some(*at);
            }
            Record::Intent { attempt, at, id, backend, address, .. } => {
                if self.request.taken_at.is_none() {
                    self.mark_earlier_records_lost();
                    self.request.id.clone_from(id);
                }
                self.request.attempts.push(Attempt {
                    number: *attempt,
                    backend: backend.clone(),
                    address: address.clone(),
                    sent_at: *at,
                    outcome: AttemptOutcome::PossiblySent,
                });
            }
            Record::Ended { attempt, end, .. } => self.end_attempt(*attempt, *end),
            Record::Settled { .. } => {
                self.request.is_finished = true;
                self.span.end = sequence;
            }
            Record::Gap { .. } | Record::Closed { .. } => {}
        }
    }

    fn end_attempt(&mut self, number: u32, end: End) {
        let Some(attempt) = self.request.attempts.iter_mut().find(|attempt| attempt.number == number) else {
            // The intent is lost: the attempt went to an unknown backend.
            self.mark_earlier_records_lost();
            return;
        };
        attempt.outcome = match end {
            End::NeverSent => AttemptOutcome::NeverSent,
            End::Answered(status) => AttemptOutcome::Answered(status),
            End::Unanswered => AttemptOutcome::Unanswered,
        };
    }

    /// Notes that earlier records of the request are lost, which may have had any lower sequence number.
    fn mark_earlier_records_lost(&mut self) {
        self.span.start = 0;
    }

    /// Returns the request. It is uncertain if the record of its arrival or any other of its records may be missing.
    pub(super) fn finish(mut self, missing: &[Range<u64>]) -> Request {
        let may_miss_records =
            missing.iter().any(|range| range.start < self.span.end && range.end > self.span.start);
        self.request.is_uncertain = self.request.taken_at.is_none() || may_miss_records;
        self.request
    }
}
