//! The demand for a limit at this proxy, which determines what it borrows and lends.

use std::time::Duration;

/// Time constant of the moving average of the demand in seconds; covers several rounds of lease requests.
const TIME_CONSTANT_S: f64 = 0.5;
/// Factor by which the assumed demand exceeds the measured one. Averaged over half a second, a Poisson stream of ten
/// requests a second varies by a third, and a denser stream by less.
const HEADROOM_FACTOR: f64 = 1.2;

/// The rate of requests as a moving average, and the slots needed since the last round.
pub(super) struct Demand {
    rate: f64,
    updated_at: Duration,
    /// Maximum number of requests in flight since the last round.
    peak_in_flight: u32,
    /// Requests rejected for lack of a slot since the last round.
    missing_slots: u32,
}

impl Demand {
    /// Creates a demand of zero.
    pub(super) fn new(now: Duration) -> Demand {
        Demand { rate: 0.0, updated_at: now, peak_in_flight: 0, missing_slots: 0 }
    }

    fn decayed_rate(&self, at: Duration) -> f64 {
        let elapsed = at.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / TIME_CONSTANT_S).exp()
    }

    /// Counts a request, whether it is admitted or not.
    pub(super) fn record_request(&mut self, now: Duration) {
        self.rate = self.decayed_rate(now) + 1.0 / TIME_CONSTANT_S;
        self.updated_at = self.updated_at.max(now);
    }

    /// Counts a request that is rejected for lack of a slot.
    pub(super) fn record_missing_slot(&mut self) {
        self.missing_slots = self.missing_slots.saturating_add(1);
    }

    /// Records the number of requests in flight after one was admitted.
    pub(super) fn record_in_flight(&mut self, in_flight: u32) {
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
    }

    /// Returns the rate that this proxy needs, in requests a second.
    pub(super) fn rate(&self, at: Duration) -> f64 {
        self.decayed_rate(at) * HEADROOM_FACTOR
    }

    /// Returns the number of slots that this proxy needs.
    pub(super) fn slots(&self, in_flight: u32) -> u32 {
        self.peak_in_flight.max(in_flight).saturating_add(self.missing_slots)
    }

    /// Resets what is counted per round.
    pub(super) fn start_round(&mut self, in_flight: u32) {
        self.peak_in_flight = in_flight;
        self.missing_slots = 0;
    }
}
