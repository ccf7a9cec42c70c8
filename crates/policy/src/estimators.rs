//! Running estimates and the random numbers of one balancer. They decide nothing, but every decision rests on
//! them: the order of their floating-point operations and of the random draws is part of what the balancer
//! decides.

use crate::api::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Random numbers, the same on every machine for the same seed.
pub(crate) struct Rng(Pcg32);

impl Rng {
    pub(crate) fn new(seed: u64) -> Rng {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// Uniformly distributed in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// One of the items, each with the probability of its weight; `None` where there are none.
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

/// A mean over about the last `window` samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    pub value: f64,
    /// Samples that the value is worth: the next one weighs one among so many.
    pub count: f64,
}

impl MovingAverage {
    pub(crate) fn add(&mut self, sample: f64, window: f64) {
        self.count = (self.count + 1.0).min(window);
        self.value += (sample - self.value) / self.count;
    }

    /// The mean; `None` before the first sample.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Events a second with exponentially fading memory, without bias from the first second on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateEstimator {
    /// Time constant of the memory, in seconds.
    memory_s: f64,
    /// Events, faded.
    events: f64,
    /// Time observed, faded alike, in seconds.
    observed_s: f64,
    updated_at: Option<Time>,
}

impl RateEstimator {
    pub(crate) fn new(memory_s: f64) -> RateEstimator {
        RateEstimator { memory_s, events: 0.0, observed_s: 0.0, updated_at: None }
    }

    /// Counts `level` for each second since the last update: the integral of a level that was constant
    /// meanwhile.
    pub(crate) fn add_level(&mut self, now: Time, level: f64) {
        let gap_s = self.gap_s(now);
        self.add(now, level * (1.0 - (-gap_s / self.memory_s).exp()) * self.memory_s);
    }

    /// Counts `events` at `now`; none just lets time pass.
    pub(crate) fn add(&mut self, now: Time, events: f64) {
        let fade = (-self.gap_s(now) / self.memory_s).exp();
        self.events = self.events * fade + events;
        self.observed_s = self.observed_s * fade + (1.0 - fade) * self.memory_s;
        self.updated_at = Some(now);
    }

    /// Events a second; `None` until a twentieth of the memory has passed.
    pub(crate) fn per_s(&self) -> Option<f64> {
        (self.observed_s > self.memory_s / 20.0).then(|| self.events / self.observed_s)
    }

    fn gap_s(&self, now: Time) -> f64 {
        self.updated_at.map_or(0.0, |updated_at| (now - updated_at).secs())
    }
}

/// A token bucket: a rate with a burst.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Option<Time>,
}

impl TokenBucket {
    /// Takes a token if there is one. The bucket refills at `rate_per_s` up to the tokens of `burst_s`
    /// seconds, and starts with as many; a low rate may accumulate `min_burst`, as chance alone brings a few
    /// requests at once.
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
