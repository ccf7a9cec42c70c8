//! Parts of a limit.

use serde::{Deserialize, Serialize};

/// A part of a limit. It is a part of datagrams, so that the order of its fields is fixed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    /// Requests a second.
    pub rate: f64,
    /// Concurrent requests.
    pub slots: u32,
}

impl Amount {
    /// Whether it is neither a rate nor a slot.
    pub fn is_zero(&self) -> bool {
        self.rate <= 0.0 && self.slots == 0
    }

    pub(crate) fn plus(self, other: Amount) -> Amount {
        Amount { rate: self.rate + other.rate, slots: self.slots + other.slots }
    }

    /// The smaller rate and the smaller number of slots.
    pub(crate) fn min(self, other: Amount) -> Amount {
        Amount { rate: self.rate.min(other.rate), slots: self.slots.min(other.slots) }
    }

    /// The larger rate and the larger number of slots.
    pub(crate) fn max(self, other: Amount) -> Amount {
        Amount { rate: self.rate.max(other.rate), slots: self.slots.max(other.slots) }
    }
}
