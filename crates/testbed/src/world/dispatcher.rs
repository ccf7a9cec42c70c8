//! The front that deals clients' requests out among the proxies: in turn, or unevenly by weight, past those that are
//! held for dead.

use super::rng::Rng;

/// Whose turn it is.
pub struct RequestDispatcher {
    /// A proxy's part of the arrivals; empty where all get the same.
    weights: Vec<f64>,
    proxies: usize,
    turn: usize,
    rng: Rng,
}

impl RequestDispatcher {
    /// Among so many proxies: the part of each falls with its number, from 1, to the power of `skew`; 0 deals evenly.
    pub fn new(proxies: usize, skew: f64, seed: u64) -> RequestDispatcher {
        let weight = |p: usize| ((p + 1) as f64).powf(-skew);
        let weights = if skew > 0.0 { (0..proxies).map(weight).collect() } else { Vec::new() };
        RequestDispatcher { weights, proxies: proxies.max(1), turn: 0, rng: Rng::new(seed, "deal") }
    }

    /// The next one's proxy; where all are shunned it is tried all the same.
    pub fn next(&mut self, shunned: impl Fn(usize) -> bool) -> usize {
        let from = match self.weights.is_empty() {
            true => self.turn % self.proxies,
            false => self.rng.weighted(&self.weights),
        };
        self.turn += 1;
        (0..self.proxies).map(|i| (from + i) % self.proxies).find(|p| !shunned(*p)).unwrap_or(from)
    }
}

#[cfg(test)]
mod tests;
