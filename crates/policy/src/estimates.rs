//! What is learned of kinds and classes: service times, rates and shares.

use crate::api::{Config, KindId, Micros};
use crate::estimators::MovingAverage;
use std::collections::BTreeMap;

/// Samples in the mean of a kind or class: its error is then about a tenth of the spread.
pub(crate) const ESTIMATE_SAMPLES: f64 = 100.0;
/// Attempts in the answered share of a kind: enough to tell whether most are answered.
const ANSWERED_SAMPLES: f64 = 30.0;
/// Samples that a kind's first answered share is worth: one failure alone may be chance.
const INITIAL_ANSWERED_SAMPLES: f64 = 2.0;

/// What is learned of a kind of machine.
pub(crate) struct KindStats {
    /// Seconds from dispatch to answer, of served requests only, with the class mix taken out.
    pub latency: MovingAverage,
    /// The share of attempts that were answered at all, of those that had time enough.
    pub answered_share: MovingAverage,
    /// Requests a second that one backend got while the latency was measured. The present rate in its place
    /// would make the shares of the proxies oscillate.
    pub measured_rate: MovingAverage,
    /// Requests a second that one backend gets by the present shares.
    pub planned_rate: f64,
    /// Sum of the readiness of its backends.
    pub readiness: f64,
    /// Requests a second that one backend could serve.
    pub service_rate: f64,
    /// Share of the traffic of all proxies.
    pub fleet_share: f64,
    /// Share of this proxy's traffic.
    pub traffic_share: f64,
}

impl Default for KindStats {
    fn default() -> KindStats {
        KindStats {
            latency: MovingAverage::default(),
            answered_share: MovingAverage { value: 1.0, count: INITIAL_ANSWERED_SAMPLES },
            measured_rate: MovingAverage::default(),
            planned_rate: 0.0,
            readiness: 0.0,
            service_rate: 0.0,
            fleet_share: 0.0,
            traffic_share: 0.0,
        }
    }
}

impl KindStats {
    /// An attempt was answered, or timed out.
    pub(crate) fn record_answered(&mut self, answered: bool) {
        self.answered_share.add(f64::from(answered), ANSWERED_SAMPLES);
    }
}

/// What is learned of a class.
#[derive(Default)]
pub(crate) struct ClassStats {
    /// Seconds from dispatch to answer, of served requests only.
    pub latency: MovingAverage,
    /// More than half of the backends are ejected for it: then the backends are not at fault.
    pub is_ejected_by_most: bool,
}

/// What is learned of all kinds and classes.
pub(crate) struct Estimates {
    /// Seconds from dispatch to answer, of all classes.
    pub overall_latency: MovingAverage,
    pub classes: Vec<ClassStats>,
    pub kinds: BTreeMap<KindId, KindStats>,
}

impl Estimates {
    pub(crate) fn new(classes: usize) -> Estimates {
        Estimates {
            overall_latency: MovingAverage::default(),
            classes: (0..classes).map(|_| ClassStats::default()).collect(),
            kinds: BTreeMap::new(),
        }
    }

    /// What a served request of the class usually takes; before any was served, a quarter of its objective.
    pub(crate) fn usual_latency(&self, config: &Config, class: usize) -> Micros {
        match self.classes[class].latency.get() {
            Some(latency_s) => Micros::from_secs(latency_s),
            None => config.classes[class].latency_objective.times(0.25),
        }
    }

    /// The work of a request of the class, in requests of mean work, as far as latency shows it.
    pub(crate) fn relative_work(&self, class: usize) -> f64 {
        self.classes[class].latency.get().map_or(1.0, |latency_s| latency_s / self.overall_latency.value)
    }

    /// A backend of the kind served a request of the class. Errors, time-outs and rejections stay out of the
    /// service times.
    pub(crate) fn record_success(&mut self, kind: KindId, class: usize, latency: Micros) {
        let latency_s = latency.secs().max(1e-6);
        let class = &mut self.classes[class];
        class.latency.add(latency_s, ESTIMATE_SAMPLES);
        self.overall_latency.add(latency_s, ESTIMATE_SAMPLES);
        let without_class_mix_s = latency_s * self.overall_latency.value / class.latency.value;
        let kind = self.kinds.entry(kind).or_default();
        kind.latency.add(without_class_mix_s, ESTIMATE_SAMPLES);
        kind.measured_rate.add(kind.planned_rate, ESTIMATE_SAMPLES);
    }
}
