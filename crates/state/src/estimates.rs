//! A proxy's estimates of classes, kinds and backends, as they are persisted, and what remains of them at an age.
//!
//! - Latencies and rates are means. A mean of `n` samples and age `a` counts as `n * 2^(-a / h)` samples: the power prior
//!   (Ibrahim and Chen, Statistical Science 15, 2000), the old likelihood raised to the [`Confidence`] in it. New
//!   samples soon outweigh an old mean, and a mean of age 0 is restored as it was.
//! - Ejected backends are restored, on probation, while the confidence is sufficient: it is more likely that they are
//!   still unhealthy than that they have recovered, and a few good answers prove otherwise.
//! - Work sent to backends that warm up counts until the warm-up window has passed. What was sent after the last write
//!   is not in the file: it is assumed to have continued at the window's rate, for at most the time between two writes.
//!   So a process that is killed and restarted sends such a backend at most what it would have sent without the
//!   restart, plus the difference between that rate and what it really sent after the last write. With writes every `e`
//!   and a window `w` that is the whole budget once more in the worst case, and `e / w` of it if it was sent evenly.

#[cfg(test)]
mod tests;

use crate::confidence::{Age, Confidence};
use crate::frame::Persisted;
use serde::{Deserialize, Serialize};

/// A mean and the number of samples that it counts as.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightedMean {
    /// The mean.
    pub value: f64,
    /// The samples that it counts as.
    pub samples: f64,
}

/// The latency of a class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassLatency {
    /// The name of the class.
    pub class: String,
    /// Seconds from dispatch to answer.
    pub latency: WeightedMean,
}

/// The estimates of a kind of machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindEstimates {
    /// The name of the kind.
    pub kind: String,
    /// Seconds from dispatch to answer, with the effect of the class mix removed.
    pub latency: WeightedMean,
    /// Requests per second that one backend received.
    pub flow: WeightedMean,
}

/// A backend that is ejected or on probation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectedBackend {
    /// Its name.
    pub backend: String,
    /// How often in a row it was ejected.
    pub consecutive_ejections: u32,
}

/// Work sent to a backend that warms up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmupSpend {
    /// Its name.
    pub backend: String,
    /// How long before the time of writing it was sent, ms.
    pub ago_ms: u64,
    /// The amount, in requests of mean work.
    pub work: f64,
}

/// A proxy's estimates, by names. The order of the fields, here and in the parts, is the order of the bytes in the file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    /// The site, as the operator file names it.
    pub site: String,
    /// The proxy that wrote the file.
    pub proxy: String,
    /// When the file was written: milliseconds since 1970 by the writer's wall clock.
    pub written_ms: u64,
    /// Seconds from dispatch to answer, over all classes.
    pub overall_latency: WeightedMean,
    /// The same for each class.
    pub class_latency: Vec<ClassLatency>,
    /// The estimates of each kind of machine.
    pub kinds: Vec<KindEstimates>,
    /// The backends that are ejected or on probation.
    pub ejected: Vec<EjectedBackend>,
    /// Warm-up work sent within the warm-up window; one backend's entries are adjacent.
    pub warmup_spend: Vec<WarmupSpend>,
}

impl Persisted for Estimates {
    const MAGIC: &'static [u8; 8] = b"LDLEARN\0";
    fn origin(&self) -> (&str, &str) {
        (&self.site, &self.proxy)
    }
}

/// How estimates are discounted by their age.
#[derive(Clone, Copy, Debug)]
pub struct AgeWeighting {
    /// The reader's wall clock, ms since 1970.
    pub now_ms: u64,
    /// The age at which the confidence in them is one half, ms.
    pub half_life_ms: u64,
    /// The window in which work sent to a backend that warms up counts, ms.
    pub window_ms: u64,
    /// The greatest time between two writes, ms.
    pub write_interval_ms: u64,
}

impl Estimates {
    /// What remains of the estimates: means with fewer samples, ejections while the confidence is sufficient, warm-up
    /// work as long ago as it is now.
    ///
    /// `started_at_ms` returns when a backend of the restored endpoint list started (ms since 1970; `None` if it is not
    /// listed): what was persisted under the name of one that started after the writing concerns another backend.
    pub fn discounted(
        mut self, weighting: AgeWeighting, started_at_ms: impl Fn(&str) -> Option<u64>,
    ) -> Estimates {
        let age = Age::of(self.written_ms, weighting.now_ms);
        let confidence = Confidence::at_age(age, weighting.half_life_ms);
        let age_ms = match age {
            Age::Known(age_ms) if confidence.is_sufficient() => age_ms,
            _ => return self.without_estimates(),
        };
        self.means_mut().for_each(|mean| mean.samples *= confidence.0);
        let written_ms = self.written_ms;
        let is_same_backend = |name: &str| started_at_ms(name).is_some_and(|at| at <= written_ms);
        self.ejected.retain(|ejected| is_same_backend(&ejected.backend));
        self.warmup_spend.retain(|spend| is_same_backend(&spend.backend));
        self.continue_spending(age_ms, weighting);
        self.warmup_spend.retain(|spend| spend.ago_ms < weighting.window_ms);
        self
    }

    /// The origin and time of writing alone.
    fn without_estimates(self) -> Estimates {
        Estimates { site: self.site, proxy: self.proxy, written_ms: self.written_ms, ..Estimates::default() }
    }

    fn means_mut(&mut self) -> impl Iterator<Item = &mut WeightedMean> {
        let classes = self.class_latency.iter_mut().map(|class| &mut class.latency);
        let kinds = self.kinds.iter_mut().flat_map(|kind| [&mut kind.latency, &mut kind.flow]);
        classes.chain(kinds).chain([&mut self.overall_latency])
    }

    /// Ages the warm-up work, and adds what is assumed to have been sent after the writing.
    fn continue_spending(&mut self, age_ms: u64, weighting: AgeWeighting) {
        let unrecorded_ms = age_ms.min(weighting.write_interval_ms);
        let unrecorded_fraction = unrecorded_ms as f64 / weighting.window_ms.max(1) as f64;
        let mut assumed: Vec<WarmupSpend> = Vec::new();
        for spend in &mut self.warmup_spend {
            spend.ago_ms = spend.ago_ms.saturating_add(age_ms);
            let work = spend.work * unrecorded_fraction;
            match assumed.last_mut().filter(|last| last.backend == spend.backend) {
                Some(last) => last.work += work,
                None => {
                    let backend = spend.backend.clone();
                    assumed.push(WarmupSpend { backend, ago_ms: age_ms - unrecorded_ms, work });
                }
            }
        }
        self.warmup_spend.extend(assumed.into_iter().filter(|spend| spend.work > 0.0));
    }
}
