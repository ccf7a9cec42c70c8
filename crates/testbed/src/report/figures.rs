//! Figures of a run, from the stand-ins' records.

use crate::driver::run::{Outcome, Sample};
use crate::oracle::{find_violations, lost_with_proxies, Violation};
use crate::record::{Observation, RequestEnd};
use crate::world::plan::Plan;
use hdrhistogram::Histogram;
use lotusdeck_policy::Time;
use serde::{Deserialize, Serialize};

/// Delay of first tries at the 99th percentile, in ms, above which the figures are void.
const MAX_LATE_MS: f64 = 20.0;

/// Percentiles of a time, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

impl Spread {
    /// Reads the percentiles of a histogram in microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Spread {
        let at = |q| histogram.value_at_quantile(q) as f64 / 1e3;
        if histogram.is_empty() {
            return Spread::default();
        }
        Spread { p50: at(0.5), p90: at(0.9), p99: at(0.99), max: histogram.max() as f64 / 1e3 }
    }
}

/// Results of a set of arrivals.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Name of the set: a class, a second of the run, or `all`.
    pub name: String,
    /// Number of arrivals.
    pub arrivals: u64,
    /// Number served within the latency objective.
    pub in_time: u64,
    /// Number served after the latency objective.
    pub late: u64,
    /// Number whose last answer was a refusal.
    pub refused: u64,
    /// Number neither served nor refused.
    pub failed: u64,
    /// Worth asked for.
    pub asked: f64,
    /// Worth earned by the answers.
    pub earned: f64,
    /// Latency of those served, from the planned time of the first try to the answer.
    pub latency_ms: Spread,
}

impl Tally {
    /// Returns worth earned divided by worth asked for; 1 where none was asked for.
    pub fn earned_part(&self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }
}

/// A proxy's usage over a quarter of the run.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Quarter {
    /// Mean number of cores used.
    pub cores: f64,
    /// Highest memory use, in MB.
    pub memory_mb: f64,
    /// Highest number of descriptors.
    pub descriptors: usize,
}

/// The figures of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Figures {
    /// Seed of the plan.
    pub seed: u64,
    /// Hash of the plan, in hexadecimal.
    pub plan_hash: String,
    /// All arrivals.
    pub whole: Tally,
    /// Arrivals by class.
    pub classes: Vec<Tally>,
    /// Arrivals by the second in which the first try was planned.
    pub seconds: Vec<Tally>,
    /// Requests that reached backends, per request that a client sent.
    pub attempts: f64,
    /// Processor time of the proxies per request that a client sent, in microseconds.
    pub cpu_us: f64,
    /// Usage of each proxy, by quarter of the run.
    pub proxies: Vec<Vec<Quarter>>,
    /// Requests whose connection broke because their proxy was killed or stopped.
    pub lost_with_proxies: usize,
    /// Delay of first tries behind their planned time, caused by the testbed itself.
    pub lab_late_ms: Spread,
    /// Why these figures are void, if they are.
    pub void: Option<String>,
    /// Number of violations, by oracle.
    pub broken: Vec<(String, usize)>,
}

/// The result of one arrival.
#[derive(Clone, Copy, Default)]
struct ArrivalResult {
    served: Option<Time>,
    refused: bool,
}

struct TallyBuilder {
    tally: Tally,
    latency: Histogram<u64>,
}

impl TallyBuilder {
    fn new(name: String) -> TallyBuilder {
        let latency = Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds in order");
        TallyBuilder { tally: Tally { name, ..Tally::default() }, latency }
    }

    fn add(&mut self, class: &crate::experiment::Class, due: Time, result: ArrivalResult) {
        let t = &mut self.tally;
        t.arrivals += 1;
        t.asked += class.worth;
        match result.served {
            Some(at) => {
                let latency_us = (at - due).0;
                let in_time = latency_us as f64 <= class.aim_ms * 1e3;
                t.earned += class.worth * if in_time { 1.0 } else { class.late_worth };
                *(if in_time { &mut t.in_time } else { &mut t.late }) += 1;
                self.latency.saturating_record(latency_us.max(1));
            }
            None if result.refused => t.refused += 1,
            None => t.failed += 1,
        }
    }

    fn finish(mut self) -> Tally {
        self.tally.latency_ms = Spread::from_histogram(&self.latency);
        self.tally
    }
}

impl Figures {
    /// Computes the figures and the violations of a run.
    pub fn compute(plan: &Plan, outcome: &Outcome) -> (Figures, Vec<Violation>) {
        let mut results = vec![ArrivalResult::default(); plan.arrivals.len()];
        let (mut sent, mut reached) = (0u64, 0u64);
        for r in &outcome.records {
            let Some(result) = r.id().and_then(|id| results.get_mut(id.arrival as usize)) else { continue };
            match r.what {
                Observation::Asked { .. } => sent += 1,
                Observation::Ended { how: RequestEnd::TurnedAway, .. } => {}
                Observation::Began { .. } => reached += 1,
                Observation::Answered { status, own, .. } => {
                    if status == 200 && own {
                        result.served = result.served.or(Some(r.at));
                    }
                    result.refused = matches!(status, 429 | 503);
                }
                _ => {}
            }
        }
        let e = &plan.experiment;
        let mut whole = TallyBuilder::new("all".into());
        let mut classes: Vec<TallyBuilder> =
            e.class.iter().map(|c| TallyBuilder::new(c.name.clone())).collect();
        let count = e.duration_s.ceil() as usize;
        let mut seconds: Vec<TallyBuilder> = (0..count).map(|s| TallyBuilder::new(s.to_string())).collect();
        let until = outcome.cut.unwrap_or(Time(u64::MAX));
        for (arrival, result) in plan.arrivals.iter().zip(&results).filter(|(a, _)| a.at < until) {
            let class = &e.class[arrival.class];
            let second = ((arrival.at.0 / 1_000_000) as usize).min(count - 1);
            for builder in [&mut whole, &mut classes[arrival.class], &mut seconds[second]] {
                builder.add(class, arrival.at, *result);
            }
        }
        let broken = find_violations(plan, &outcome.records);
        let mut by_oracle: Vec<(String, usize)> = Vec::new();
        for b in &broken {
            match by_oracle.iter_mut().find(|o| o.0 == b.oracle) {
                Some(o) => o.1 += 1,
                None => by_oracle.push((b.oracle.into(), 1)),
            }
        }
        let late = Spread::from_histogram(&outcome.late);
        let void = (late.p99 > MAX_LATE_MS).then(|| {
            format!("the lab was too slow for its own schedule: first tries {:.0} ms late at the 99th percentile, {:.0} ms at most", late.p99, late.max)
        });
        let void = outcome.cut.map(|at| format!("ended by hand at {}", crate::record::seconds(at))).or(void);
        let cpu: f64 = (0..e.proxies).filter_map(|p| cpu_seconds(&outcome.samples, p, 0.0, f64::MAX)).sum();
        let figures = Figures {
            seed: plan.seed,
            plan_hash: format!("{:016x}", plan.hash),
            whole: whole.finish(),
            classes: classes.into_iter().map(TallyBuilder::finish).collect(),
            seconds: seconds.into_iter().map(TallyBuilder::finish).collect(),
            attempts: reached as f64 / sent.max(1) as f64,
            cpu_us: cpu * 1e6 / sent.max(1) as f64,
            proxies: (0..e.proxies).map(|p| quarters(&outcome.samples, p, e.duration_s)).collect(),
            lost_with_proxies: lost_with_proxies(plan, &outcome.records),
            lab_late_ms: late,
            void,
            broken: by_oracle,
        };
        (figures, broken)
    }
}

/// Returns the processor seconds that a proxy used between two times, by its samples.
fn cpu_seconds(samples: &[Sample], proxy: usize, from: f64, to: f64) -> Option<f64> {
    let mut inside = samples.iter().filter(|s| s.proxy == proxy && s.at_s >= from && s.at_s < to);
    let first = inside.next()?;
    let last = inside.next_back().unwrap_or(first);
    Some((last.usage.cpu.saturating_sub(first.usage.cpu)).as_secs_f64())
}

fn quarters(samples: &[Sample], proxy: usize, duration: f64) -> Vec<Quarter> {
    let quarter = |q: usize| {
        let (from, to) = (duration * q as f64 / 4.0, duration * (q + 1) as f64 / 4.0);
        let inside = || samples.iter().filter(|s| s.proxy == proxy && s.at_s >= from && s.at_s < to);
        Quarter {
            cores: cpu_seconds(samples, proxy, from, to).unwrap_or(0.0) / (duration / 4.0),
            memory_mb: inside().map(|s| s.usage.memory).max().unwrap_or(0) as f64 / 1e6,
            descriptors: inside().map(|s| s.usage.descriptors).max().unwrap_or(0),
        }
    };
    (0..4).map(quarter).collect()
}

#[cfg(test)]
mod tests;
