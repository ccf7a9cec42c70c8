//! Running estimates and the random numbers of one balancer. Every decision depends on them: another order of
//! their floating-point operations or of the random draws changes the decisions.

use crate::api::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A random number generator with the same sequence on every machine for the same seed.
pub(crate) struct Rng(Pcg32);

impl Rng {
    pub(crate) fn new(seed: u64) -> Rng {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// Returns a number uniformly distributed in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// Picks one of the items at random, with a probability proportional to its weight; returns `None` if
    /// there are none.
    pub(crate) fn pick_weighted<T: Copy>(&mut self, weighted: &[(T, f64)]) -> Option<T> {
        let mut remaining = self.unit() * weighted.iter().map(|w| w.1).sum::<f64>();
        for (item, weight) in weighted {
            remaining -= weight;
            if remaining < 0.0 {
                return Some(*item);
            }
        }
        weighted.last().map(|w| w.0)
    }
}

/// A moving average over about the last `window` samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    pub value: f64,
    /// Weight of the value, in samples.
    pub count: f64,
}

impl MovingAverage {
    pub(crate) fn add(&mut self, sample: f64, window: f64) {
        self.count = (self.count + 1.0).min(window);
        self.value += (sample - self.value) / self.count;
    }

    /// Returns the mean; `None` before the first sample.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Estimates events per second with an exponentially decaying memory, without bias from the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateEstimator {
    /// Time constant of the memory, in seconds.
    memory_s: f64,
    /// Decayed number of events.
    events: f64,
    /// Decayed time of observation, in seconds.
    observed_s: f64,
    updated_at: Option<Time>,
}

impl RateEstimator {
    pub(crate) fn new(memory_s: f64) -> RateEstimator {
        RateEstimator { memory_s, events: 0.0, observed_s: 0.0, updated_at: None }
    }

    /// Adds the integral of a level that was constant since the last update, so that the rate is the mean
    /// level.
    pub(crate) fn add_level(&mut self, now: Time, level: f64) {
        let gap_s = self.gap_s(now);
        self.add(now, level * (1.0 - (-gap_s / self.memory_s).exp()) * self.memory_s);
    }

    /// Counts `events` at `now`; 0 only advances the time.
    pub(crate) fn add(&mut self, now: Time, events: f64) {
        let decay = (-self.gap_s(now) / self.memory_s).exp();
        self.events = self.events * decay + events;
        self.observed_s = self.observed_s * decay + (1.0 - decay) * self.memory_s;
        self.updated_at = Some(now);
    }

    /// Returns the events per second; `None` until a twentieth of the time constant was observed.
    pub(crate) fn per_s(&self) -> Option<f64> {
        (self.observed_s > self.memory_s / 20.0).then(|| self.events / self.observed_s)
    }

    fn gap_s(&self, now: Time) -> f64 {
        self.updated_at.map_or(0.0, |updated_at| (now - updated_at).secs())
    }
}

/// A token bucket, which limits a rate and its bursts.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Option<Time>,
}

impl TokenBucket {
    /// Takes a token; returns whether there was one. The bucket refills at `rate_per_s` up to the tokens of
    /// `burst_s` seconds, and starts with that many but at least one. At a low rate it can accumulate
    /// `min_burst` tokens, as a few requests may arrive together by chance.
    pub(crate) fn take(&mut self, now: Time, rate_per_s: f64, burst_s: f64, min_burst: f64) -> bool {
        let burst = rate_per_s * burst_s;
        self.tokens = match self.refilled_at {
            None => burst.max(1.0),
            Some(refilled_at) => {
                (self.tokens + rate_per_s * (now - refilled_at).secs()).min(burst.max(min_burst))
            }
        };
        self.refilled_at = Some(now);
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(taken);
        taken
    }
}
