//! What a proxy learned of kinds, classes and backends, as kept, and what of it is believed at an age.
//!
//! - Speeds are means. A mean of `n` samples and age `a` is taken as worth `n * 2^(-a / h)` of them: the power prior
//!   (Ibrahim and Chen, Statistical Science 15, 2000), the old likelihood raised to the trust of [`Confidence`]. New
//!   samples soon outweigh an old mean, and a mean of no age is taken as it stood.
//! - Ejections are taken as trials while the trust is enough: that a backend was ill is the better guess than that it
//!   was not, and three good answers prove otherwise.
//! - Cold budget spent counts until the fall window has passed. What was sent after the last write is not in the file:
//!   it is taken to have gone on at the rate of the window before, for the time between two writes at most. So a
//!   process killed and started again sends a cold backend at most what it would have sent had it lived, and beyond
//!   that the difference between what it sent in its last unkept moments and that rate: with writes every `e` and a
//!   window `w`, its whole budget once more at the very worst, and `e / w` of it where it sent evenly.

#[cfg(test)]
mod tests;

use crate::confidence::{Age, Confidence};
use crate::frame::Persisted;
use serde::{Deserialize, Serialize};

/// A mean and the samples that it is worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightedMean {
    /// The mean.
    pub value: f64,
    /// Samples that it is worth.
    pub samples: f64,
}

/// Work sent to a cold backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmupSpend {
    /// Its name.
    pub backend: String,
    /// How long before the writing, ms.
    pub ago_ms: u64,
    /// In requests of mean work.
    pub work: f64,
}

/// What a proxy learned, by names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    /// The site as the operator file names it.
    pub site: String,
    /// The proxy that wrote it.
    pub proxy: String,
    /// When it was written: milliseconds since 1970 by the writer's wall clock.
    pub written_ms: u64,
    /// Seconds from dispatch to answer, all classes.
    pub overall_latency: WeightedMean,
    /// The same by class.
    pub class_latency: Vec<(String, WeightedMean)>,
    /// By kind: the same with the class mix taken out, and requests a second that one backend got.
    pub kinds: Vec<(String, WeightedMean, WeightedMean)>,
    /// Backends out of use or on trial, and how often in a row they were put out of use.
    pub ejected: Vec<(String, u32)>,
    /// Cold budget spent inside the fall window.
    pub warmup_spend: Vec<WarmupSpend>,
}

impl Persisted for Estimates {
    const MAGIC: &'static [u8; 8] = b"LDLEARN\0";
    fn origin(&self) -> (&str, &str) {
        (&self.site, &self.proxy)
    }
}

/// What is to be known for weighing a memory.
#[derive(Clone, Copy, Debug)]
pub struct AgeWeighting {
    /// The reader's wall clock, ms since 1970.
    pub now_ms: u64,
    /// The age at which it is believed half as much, ms.
    pub half_life_ms: u64,
    /// The window over which work sent to a cold backend counts, ms.
    pub window_ms: u64,
    /// It was written so often at most, ms.
    pub write_interval_ms: u64,
}

impl Estimates {
    /// What is left of it: means worth less, ejections while it is trusted, work spent as long ago as it is now. `since`
    /// tells when a backend started by the list begun with (ms since 1970; `None` where not listed): one that started
    /// after the writing has nothing in common with what is told of its name.
    pub fn discounted(mut self, w: AgeWeighting, since: impl Fn(&str) -> Option<u64>) -> Estimates {
        let age = Age::of(self.written_ms, w.now_ms);
        let trust = Confidence::at_age(age, w.half_life_ms);
        let (Age::Known(age_ms), true) = (age, trust.is_sufficient()) else {
            let Estimates { site, proxy, written_ms, .. } = self;
            return Estimates { site, proxy, written_ms, ..Estimates::default() };
        };
        let all = self.class_latency.iter_mut().map(|c| &mut c.1);
        let all = all.chain(self.kinds.iter_mut().flat_map(|k| [&mut k.1, &mut k.2]));
        all.chain([&mut self.overall_latency]).for_each(|m| m.samples *= trust.0);
        let written_ms = self.written_ms;
        let same = |name: &str| since(name).is_some_and(|at| at <= written_ms);
        self.ejected.retain(|(name, _)| same(name));
        self.warmup_spend.retain(|s| same(&s.backend));
        self.go_on_spending(age_ms, w);
        self.warmup_spend.retain(|s| s.ago_ms < w.window_ms);
        self
    }

    /// Moves what was spent by the age, and adds what was spent since at the rate of the window.
    fn go_on_spending(&mut self, age_ms: u64, w: AgeWeighting) {
        let unkept_ms = age_ms.min(w.write_interval_ms);
        let part = unkept_ms as f64 / w.window_ms.max(1) as f64;
        let mut further: Vec<WarmupSpend> = Vec::new();
        for s in &mut self.warmup_spend {
            s.ago_ms = s.ago_ms.saturating_add(age_ms);
            match further.last_mut().filter(|f| f.backend == s.backend) {
                Some(f) => f.work += s.work * part,
                None => {
                    let ago_ms = age_ms - unkept_ms;
                    further.push(WarmupSpend { backend: s.backend.clone(), ago_ms, work: s.work * part });
                }
            }
        }
        self.warmup_spend.extend(further.into_iter().filter(|f| f.work > 0.0));
    }
}
