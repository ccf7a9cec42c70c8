//! The limit on the memory of all buffered bodies.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// A limit on the bytes that all buffered bodies take in total; clones share it.
#[derive(Clone, Default)]
pub struct BodyBudget {
    limit_bytes: usize,
    reserved_bytes: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> BodyBudget {
        BodyBudget { limit_bytes: bytes, reserved_bytes: Arc::default() }
    }

    /// Returns the number of bytes that are reserved.
    pub(crate) fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Relaxed)
    }

    /// Returns whether half of it is reserved.
    pub(crate) fn is_half_reserved(&self) -> bool {
        self.reserved_bytes() >= self.limit_bytes / 2
    }

    /// Returns an empty reservation, which can grow.
    pub(crate) fn reserve(&self) -> BodyReservation {
        BodyReservation { budget: self.clone(), bytes: 0 }
    }
}

/// A part of the budget, which is returned when the reservation is dropped.
pub(crate) struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves `bytes` more, also where the budget has too few left; returns false in that case.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let reserved_before = self.budget.reserved_bytes.fetch_add(bytes, Relaxed);
        self.bytes += bytes;
        reserved_before + bytes <= self.budget.limit_bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Relaxed);
    }
}
