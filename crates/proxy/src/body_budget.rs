//! The memory that buffered bodies may take in all.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that all buffered bodies may take in all; copies share them.
#[derive(Clone, Default)]
pub struct BodyBudget {
    bytes_left: Rc<Cell<usize>>,
}

impl BodyBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> BodyBudget {
        BodyBudget { bytes_left: Rc::new(Cell::new(bytes)) }
    }

    /// A part of it that is empty yet.
    pub(crate) fn reserve(&self) -> BodyReservation {
        BodyReservation { budget: self.clone(), bytes: 0 }
    }
}

/// A part of the budget, given back when it is dropped.
pub(crate) struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyReservation {
    /// Takes so many bytes more; false where the budget has not as many left.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let bytes_left = self.budget.bytes_left.get();
        if bytes > bytes_left {
            return false;
        }
        self.budget.bytes_left.set(bytes_left - bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.bytes_left.set(self.budget.bytes_left.get() + self.bytes);
    }
}
