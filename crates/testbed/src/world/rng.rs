//! Random numbers of the lab: the same on every machine for the same seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A stream of random numbers. Each purpose has a stream of its own, so that a change to one part of an
/// experiment leaves the draws of the others as they were.
pub struct Rng(Pcg64Mcg);

impl Rng {
    /// The stream for one purpose.
    pub fn new(seed: u64, purpose: &str) -> Rng {
        let mixed = xxhash_rust::xxh3::xxh3_64_with_seed(purpose.as_bytes(), seed);
        Rng(Pcg64Mcg::seed_from_u64(mixed))
    }

    /// Even from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Exponential of that mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A whole number below `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// An index by weight; the last one where rounding leaves a rest.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        let hit = weights.iter().position(|w| {
            left -= w;
            left < 0.0
        });
        hit.unwrap_or(weights.len().saturating_sub(1))
    }

    /// So many different indices below `n`, in rising order.
    pub fn sample(&mut self, n: usize, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..n).collect();
        let count = count.min(n);
        for at in 0..count {
            let other = at + self.below(n - at);
            all.swap(at, other);
        }
        all.truncate(count);
        all.sort_unstable();
        all
    }
}

/// Ranks by Zipf's law: rank r comes in proportion to 1 / r^s.
pub struct Zipf(Vec<f64>);

impl Zipf {
    /// Over ranks 0 to `ranks` - 1.
    pub fn new(ranks: usize, s: f64) -> Zipf {
        let mut sum = 0.0;
        let weight = |r| {
            sum += 1.0 / ((r + 1) as f64).powf(s);
            sum
        };
        Zipf((0..ranks.max(1)).map(weight).collect())
    }

    /// One rank.
    pub fn draw(&self, rng: &mut Rng) -> usize {
        let at = rng.unit() * self.0[self.0.len() - 1];
        self.0.partition_point(|sum| *sum <= at).min(self.0.len() - 1)
    }
}

#[cfg(test)]
mod tests;
