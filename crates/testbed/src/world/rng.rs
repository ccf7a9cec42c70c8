//! Random numbers: the same on every machine for the same seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A stream of random numbers. Each purpose has its own stream, so that a change to one part of an experiment does
/// not alter the draws of the others.
pub struct Rng(Pcg64Mcg);

impl Rng {
    /// Creates the stream of one purpose.
    pub fn new(seed: u64, purpose: &str) -> Rng {
        let mixed = xxhash_rust::xxh3::xxh3_64_with_seed(purpose.as_bytes(), seed);
        Rng(Pcg64Mcg::seed_from_u64(mixed))
    }

    /// Draws uniformly from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws from an exponential distribution with that mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Draws an integer below `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// Draws an index in proportion to its weight; the last one where rounding leaves a remainder.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        let index = weights.iter().position(|w| {
            left -= w;
            left < 0.0
        });
        index.unwrap_or(weights.len().saturating_sub(1))
    }

    /// Draws `count` different indices below `n`, or all where `n` is less, in ascending order.
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

/// Zipf's law over ranks, as cumulative weights: the rank r, counted from 1, is drawn in proportion to 1 / r^s.
pub struct Zipf(Vec<f64>);

impl Zipf {
    /// Creates the distribution over `ranks` ranks, which [`Zipf::draw`] numbers from 0.
    pub fn new(ranks: usize, s: f64) -> Zipf {
        let mut sum = 0.0;
        let weight = |r| {
            sum += 1.0 / ((r + 1) as f64).powf(s);
            sum
        };
        Zipf((0..ranks.max(1)).map(weight).collect())
    }

    /// Draws a rank, from 0.
    pub fn draw(&self, rng: &mut Rng) -> usize {
        let at = rng.unit() * self.0[self.0.len() - 1];
        self.0.partition_point(|sum| *sum <= at).min(self.0.len() - 1)
    }
}

#[cfg(test)]
mod tests;
