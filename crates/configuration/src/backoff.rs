//! Delays between polls after failures.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exponential backoff with jitter.
///
/// Each delay is drawn at random between half and all of its nominal length. Every proxy uses a different seed, so that
/// proxies that lose the source at the same time do not all reconnect at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    seed: u64,
    failures: u32,
    draws: u64,
}

/// Maximum number of doublings, which prevents an overflow of the shift. With the default settings the maximum delay is
/// reached after five.
const MAX_DOUBLINGS: u32 = 16;

impl Backoff {
    /// Creates a backoff whose nominal delay starts at `initial` and doubles with each failure, up to `max`.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Backoff {
        Backoff { initial, max, seed, failures: 0, draws: 0 }
    }

    /// Counts a failure and returns the delay that follows it.
    pub fn next_pause(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let nominal = self.initial * (1 << doublings);
        self.jitter(nominal.min(self.max))
    }

    /// Draws a delay between half of `length` and all of it.
    pub fn jitter(&mut self, length: Duration) -> Duration {
        self.draws += 1;
        let draw = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        let fraction = draw as f64 / u64::MAX as f64;
        length.mul_f64(0.5 + 0.5 * fraction)
    }

    /// Resets the nominal delay to the initial one, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
