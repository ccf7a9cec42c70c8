//! Amounts of a limit.

use serde::{Deserialize, Serialize};

/// A part of a limit. Datagrams contain it, so the order of its fields is fixed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    /// Requests a second.
    pub rate: f64,
    /// Concurrent requests.
    pub slots: u32,
}

impl Amount {
    /// Returns whether there is neither a rate nor a slot.
    pub fn is_zero(&self) -> bool {
        self.rate <= 0.0 && self.slots == 0
    }

    pub(crate) fn plus(self, other: Amount) -> Amount {
        Amount { rate: self.rate + other.rate, slots: self.slots + other.slots }
    }

    /// Returns the smaller rate and the smaller number of slots.
    pub(crate) fn min(self, other: Amount) -> Amount {
        Amount { rate: self.rate.min(other.rate), slots: self.slots.min(other.slots) }
    }

    /// Returns the larger rate and the larger number of slots.
    pub(crate) fn max(self, other: Amount) -> Amount {
        Amount { rate: self.rate.max(other.rate), slots: self.slots.max(other.slots) }
    }
}
