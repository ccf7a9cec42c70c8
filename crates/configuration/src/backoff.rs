//! Pauses after failures, spread over proxies.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Doubling pauses: each is drawn between half of its length and the whole of it, from a seed that no other proxy has,
/// so that proxies that lost their source together do not come back together.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    seed: u64,
    failures: u32,
    drawn: u64,
}

/// The pause doubles so many times at most, so that no shift overflows; any longest pause is reached before.
const MOST_DOUBLINGS: u32 = 16;

impl Backoff {
    /// The first pause, and the longest.
    pub fn new(first: Duration, most: Duration, seed: u64) -> Backoff {
        Backoff { first, most, seed, failures: 0, drawn: 0 }
    }

    /// The pause after one more failure in a row.
    pub fn next_pause(&mut self) -> Duration {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.jitter((self.first * (1 << doublings)).min(self.most))
    }

    /// A pause between half of `length` and the whole of it.
    pub fn jitter(&mut self, length: Duration) -> Duration {
        self.drawn += 1;
        let drawn = xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed);
        let part = drawn as f64 / u64::MAX as f64;
        length.mul_f64(0.5 + 0.5 * part)
    }

    /// The row of failures is over.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
