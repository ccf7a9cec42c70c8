//! The part of a body that is kept in memory.

use crate::body_budget::{BodyBudget, BodyReservation};
use bytes::Bytes;

/// Least number of bytes by which a buffer grows after its first bytes.
const MIN_GROWTH_BYTES: usize = 8 * 1024;

/// A body, or the beginning of one, as it is received. The memory that it takes counts against the budget until the last
/// reference to its bytes is dropped, which is when they were written.
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: BodyReservation,
    /// Whether all memory that it takes was within the budget.
    is_within_budget: bool,
}

impl BodyBuffer {
    /// Creates an empty buffer, which takes no memory.
    pub(crate) fn new(budget: &BodyBudget) -> BodyBuffer {
        BodyBuffer { bytes: Vec::new(), reservation: budget.reserve(), is_within_budget: true }
    }

    /// Returns the number of bytes in it.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether all memory that it takes was within the budget. If not, no more should be buffered.
    pub(crate) fn is_within_budget(&self) -> bool {
        self.is_within_budget
    }

    /// Appends bytes.
    pub(crate) fn push(&mut self, data: &[u8]) {
        let capacity = self.bytes.capacity();
        let missing = (self.bytes.len() + data.len()).saturating_sub(capacity);
        if missing > 0 {
            let min_growth = if capacity == 0 { 0 } else { MIN_GROWTH_BYTES };
            self.bytes.reserve_exact(data.len().max(min_growth));
            self.is_within_budget &= self.reservation.grow(self.bytes.capacity() - capacity);
        }
        self.bytes.extend_from_slice(data);
    }

    /// Returns its bytes.
    pub(crate) fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
