//! A proxy's persisted estimates of classes, kinds and backends, and their discount by age.
//!
//! - Latencies and rates are means. A mean of `n` samples and age `a` counts as `n * 2^(-a / h)` samples, with the
//!   half-life `h`. This is the power prior (Ibrahim and Chen, Statistical Science 15, 2000): the old likelihood raised
//!   to the [`Confidence`] in it. New samples soon outweigh an old mean, and a mean of age 0 is restored unchanged.
//! - Ejected backends are restored, on probation, while the confidence is sufficient: they are more likely to be still
//!   unhealthy than to have recovered, and a few successful answers end the probation.
//! - Work sent to backends that warm up counts until the warm-up window has passed. What was sent after the last write
//!   is not in the file, so sending is assumed to have continued at the window's mean rate, for at most the time between
//!   two writes. A process that is killed and restarted therefore sends such a backend at most what it would have sent
//!   without the restart, plus the difference between that rate and what it really sent after the last write. With
//!   writes every `e` and a window `w`, that is the whole budget once more in the worst case, and `e / w` of it if the
//!   work was sent evenly.

#[cfg(test)]
mod tests;

use crate::confidence::{Age, Confidence};
use crate::frame::Persisted;
use serde::{Deserialize, Serialize};

/// A mean and its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightedMean {
    /// Value of the mean.
    pub value: f64,
    /// Number of samples that the mean counts as.
    pub samples: f64,
}

/// The latency of a class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassLatency {
    /// Name of the class.
    pub class: String,
    /// Mean time from dispatch to answer, in seconds.
    pub latency: WeightedMean,
}

/// The estimates of a kind of machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindEstimates {
    /// Name of the kind.
    pub kind: String,
    /// Mean time from dispatch to answer, in seconds, with the effect of the class mix removed.
    pub latency: WeightedMean,
    /// Mean rate that one backend received, in requests per second.
    pub flow: WeightedMean,
}

/// A backend that is ejected or on probation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectedBackend {
    /// Name of the backend.
    pub backend: String,
    /// Number of consecutive ejections.
    pub consecutive_ejections: u32,
}

/// Work sent to a backend that warms up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmupSpend {
    /// Name of the backend.
    pub backend: String,
    /// Time in ms from the sending to the writing of the file.
    pub ago_ms: u64,
    /// Amount of work, in requests of mean work.
    pub work: f64,
}

/// A proxy's estimates, by the names of classes, kinds and backends. The order of the fields, here and in the types
/// of the fields, is the order of the bytes in the file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    /// Site as named in the operator file.
    pub site: String,
    /// Proxy that wrote the file.
    pub proxy: String,
    /// Time of writing in milliseconds since 1970, by the writer's wall clock.
    pub written_ms: u64,
    /// Mean time from dispatch to answer over all classes, in seconds.
    pub overall_latency: WeightedMean,
    /// Mean time from dispatch to answer of each class.
    pub class_latency: Vec<ClassLatency>,
    /// Estimates of each kind of machine.
    pub kinds: Vec<KindEstimates>,
    /// Backends that are ejected or on probation.
    pub ejected: Vec<EjectedBackend>,
    /// Work sent to backends that warm up, within the warm-up window. The entries of one backend are adjacent.
    pub warmup_spend: Vec<WarmupSpend>,
}

impl Persisted for Estimates {
    const MAGIC: &'static [u8; 8] = b"LDLEARN\0";
    fn origin(&self) -> (&str, &str) {
        (&self.site, &self.proxy)
    }
}

/// Parameters of the discount of estimates by age.
#[derive(Clone, Copy, Debug)]
pub struct AgeWeighting {
    /// The reader's wall clock in ms since 1970.
    pub now_ms: u64,
    /// Age in ms at which the confidence in the estimates is one half.
    pub half_life_ms: u64,
    /// Window in ms in which work sent to a backend that warms up counts.
    pub window_ms: u64,
    /// Maximum time between two writes in ms.
    pub write_interval_ms: u64,
}

impl Estimates {
    /// Discounts the estimates by their age: reduces the samples of means, keeps ejections, and ages the warm-up
    /// work. If the confidence is insufficient, only the origin and the time of writing remain.
    ///
    /// `started_at_ms` returns when a backend of the restored endpoint list started, in ms since 1970, or `None` if it
    /// is not listed. Entries of backends that are not listed are dropped, as are those of backends that started after
    /// the writing, because they concern an earlier backend of the same name.
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
        self.age_warmup_spend(age_ms, weighting);
        self.warmup_spend.retain(|spend| spend.ago_ms < weighting.window_ms);
        self
    }

    /// Returns the origin and the time of writing without estimates.
    fn without_estimates(self) -> Estimates {
        Estimates { site: self.site, proxy: self.proxy, written_ms: self.written_ms, ..Estimates::default() }
    }

    fn means_mut(&mut self) -> impl Iterator<Item = &mut WeightedMean> {
        let classes = self.class_latency.iter_mut().map(|class| &mut class.latency);
        let kinds = self.kinds.iter_mut().flat_map(|kind| [&mut kind.latency, &mut kind.flow]);
        classes.chain(kinds).chain([&mut self.overall_latency])
    }

    /// Ages the warm-up work and adds the work assumed to have been sent after the writing.
    fn age_warmup_spend(&mut self, age_ms: u64, weighting: AgeWeighting) {
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
