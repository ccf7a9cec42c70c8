//! Pauses between attempts after failures.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exponential backoff with jitter.
///
/// Each pause is drawn between half of its nominal length and the full length. Every proxy has a seed of its own, so
/// that proxies that lost their source at the same moment do not return at the same moment.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    seed: u64,
    failures: u32,
    draws: u64,
}

/// Keeps the shift from overflowing; the longest pause is reached earlier.
const MAX_DOUBLINGS: u32 = 16;

impl Backoff {
    /// Pauses from `initial`, doubled after each failure, up to `max`.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Backoff {
        Backoff { initial, max, seed, failures: 0, draws: 0 }
    }

    /// The pause after one more consecutive failure.
    pub fn next_pause(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let nominal = self.initial * (1 << doublings);
        self.jitter(nominal.min(self.max))
    }

    /// A pause between half of `length` and the full length.
    pub fn jitter(&mut self, length: Duration) -> Duration {
        self.draws += 1;
        let draw = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        let fraction = draw as f64 / u64::MAX as f64;
        length.mul_f64(0.5 + 0.5 * fraction)
    }

    /// Starts again at the initial pause, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
