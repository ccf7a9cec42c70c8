//! Estimates for kinds and classes: service times, rates and shares.

use crate::api::{Config, KindId, Micros};
use crate::estimators::MovingAverage;
use std::collections::BTreeMap;

/// Window of the mean of a kind or class, in samples: the error of the mean is about a tenth of the spread.
pub(crate) const ESTIMATE_SAMPLES: f64 = 100.0;
/// Window of the answered share of a kind, in attempts; enough to tell whether most are answered.
const ANSWERED_SAMPLES: f64 = 30.0;
/// Weight of a kind's initial answered share, in samples: a single failure may be chance.
const INITIAL_ANSWERED_SAMPLES: f64 = 2.0;

/// Estimates for a kind of machine.
pub(crate) struct KindStats {
    /// Latency of served requests from dispatch to answer, in seconds, normalized for the class mix.
    pub latency: MovingAverage,
    /// Share of the answered attempts among those that were answered or timed out.
    pub answered_share: MovingAverage,
    /// Requests per second that one backend got while the latency was measured. The current rate instead
    /// would make the shares of the proxies oscillate.
    pub measured_rate: MovingAverage,
    /// Requests per second that one backend gets according to the current shares.
    pub planned_rate: f64,
    /// Sum of the readiness of its backends.
    pub readiness: f64,
    /// Requests per second that one backend could serve.
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
    /// Records that an attempt was answered, or that it timed out.
    pub(crate) fn record_answered(&mut self, answered: bool) {
        self.answered_share.add(f64::from(answered), ANSWERED_SAMPLES);
    }
}

/// Estimates for a class.
#[derive(Default)]
pub(crate) struct ClassStats {
    /// Latency of served requests from dispatch to answer, in seconds.
    pub latency: MovingAverage,
    /// Whether more than half of the ready backends are ejected for the class, which are then unlikely to be
    /// the cause of its failures.
    pub is_ejected_by_most: bool,
}

/// Estimates for all kinds and classes.
pub(crate) struct Estimates {
    /// Latency of served requests of all classes from dispatch to answer, in seconds.
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

    /// Returns the mean latency of served requests of the class, or a quarter of its objective before any was
    /// served.
    pub(crate) fn usual_latency(&self, config: &Config, class: usize) -> Micros {
        match self.classes[class].latency.get() {
            Some(latency_s) => Micros::from_secs(latency_s),
            None => config.classes[class].latency_objective.times(0.25),
        }
    }

    /// Returns the work of a request of the class, estimated by its latency, in requests of mean work.
    pub(crate) fn relative_work(&self, class: usize) -> f64 {
        self.classes[class].latency.get().map_or(1.0, |latency_s| latency_s / self.overall_latency.value)
    }

    /// Records that a backend of the kind served a request of the class. Errors, timeouts and rejections are
    /// not included in the service times.
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
