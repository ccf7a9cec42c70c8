//! The dispatcher that distributes clients' requests over the proxies: in turn, or at random by weight, skipping
//! proxies that clients avoid as dead.

use super::rng::Rng;

/// Chooses the proxy for each request.
pub struct RequestDispatcher {
    /// Weight of each proxy; empty where all get the same share.
    weights: Vec<f64>,
    proxies: usize,
    turn: usize,
    rng: Rng,
}

impl RequestDispatcher {
    /// Creates a dispatcher over that many proxies. The weight of proxy number n, counted from 1, is n to the
    /// power of `-skew`; with 0, the proxies take turns.
    pub fn new(proxies: usize, skew: f64, seed: u64) -> RequestDispatcher {
        let weight = |p: usize| ((p + 1) as f64).powf(-skew);
        let weights = if skew > 0.0 { (0..proxies).map(weight).collect() } else { Vec::new() };
        RequestDispatcher { weights, proxies: proxies.max(1), turn: 0, rng: Rng::new(seed, "deal") }
    }

    /// Returns the proxy for the next request. Where the chosen proxy is shunned, the next one that is not takes
    /// its place; where all are, the chosen one is tried anyway.
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
