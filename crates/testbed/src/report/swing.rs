//! Oscillation of the proxies' decisions: how much a kind's share of the traffic varies beyond chance, whether the
//! proxies move together, and with what period.

use crate::driver::run::Outcome;
use crate::record::Observation;
use crate::world::plan::Plan;
use lotusdeck_policy::Micros;
use std::collections::HashMap;

/// Length of the intervals over which shares are computed.
pub const BIN: Micros = Micros(100_000);

/// The course of a kind's share over a run.
#[derive(Clone, Debug)]
pub struct Swing {
    /// Name of the kind.
    pub kind: String,
    /// Its share in each interval of [`BIN`].
    pub shares: Vec<f64>,
    /// Its share of the requests of all intervals together.
    pub mean: f64,
    /// Standard deviation of the shares.
    pub deviation: f64,
    /// Standard deviation that chance alone would cause, if each request were sent independently.
    pub chance: f64,
    /// Variance of the kind's requests divided by the sum of the single proxies' variances: 1 if the proxies are
    /// independent, the number of proxies if all move together.
    pub in_step: f64,
    /// The period, in seconds, that stands out of the spectrum, and its power relative to the mean; `None` where
    /// none stands out.
    pub period: Option<(f64, f64)>,
}

/// Returns the power, relative to the mean, that the strongest of `periods` periods exceeds by chance alone in one
/// run of twenty (Fisher, 1929).
fn noise_threshold(periods: usize) -> f64 {
    (periods as f64 / 0.05).ln()
}

/// Returns the strongest period of a series, in seconds, and its power relative to the mean; `None` where it does
/// not exceed chance.
fn strongest_period(series: &[f64]) -> Option<(f64, f64)> {
    let n = series.len();
    let mean = series.iter().sum::<f64>() / n.max(1) as f64;
    // Periods from two intervals to a third of the series; anything slower is a trend.
    let powers: Vec<(usize, f64)> = (3..n / 2)
        .map(|k| {
            let step = std::f64::consts::TAU * k as f64 / n as f64;
            let (mut re, mut im) = (0.0, 0.0);
            for (t, x) in series.iter().enumerate() {
                re += (x - mean) * (step * t as f64).cos();
                im += (x - mean) * (step * t as f64).sin();
            }
            (k, re * re + im * im)
        })
        .collect();
    let all = powers.iter().map(|p| p.1).sum::<f64>() / powers.len().max(1) as f64;
    let (k, most) = powers.iter().copied().max_by(|a, b| a.1.total_cmp(&b.1))?;
    let power = most / all.max(1e-12);
    (power > noise_threshold(powers.len())).then(|| (n as f64 * BIN.secs() / k as f64, power))
}

/// Computes the swing of each kind from `from_s` seconds on.
pub fn swings(plan: &Plan, outcome: &Outcome, from_s: f64) -> Vec<Swing> {
    let kinds = &plan.experiment.kind;
    let bins = ((plan.experiment.duration_s - from_s) / BIN.secs()).max(0.0) as usize;
    let of: Vec<usize> =
        plan.fleet.iter().map(|b| kinds.iter().position(|k| k.name == b.kind).unwrap_or(0)).collect();
    let proxies = plan.experiment.proxies;
    // Requests by interval, proxy and kind.
    let mut counts = vec![vec![vec![0.0f64; kinds.len()]; proxies]; bins];
    let mut asked: HashMap<_, usize> = HashMap::new();
    for r in &outcome.records {
        match &r.what {
            Observation::Asked { id, proxy, .. } => drop(asked.insert(*id, *proxy)),
            Observation::Began { id, backend } => {
                let at = (r.at.0 as f64 / 1e6 - from_s) / BIN.secs();
                if let (true, Some(proxy)) = (at >= 0.0, asked.get(id)) {
                    if let Some(bin) = counts.get_mut(at as usize) {
                        bin[*proxy][of[*backend]] += 1.0;
                    }
                }
            }
            _ => {}
        }
    }
    let swing = |(k, kind): (usize, &crate::experiment::Kind)| {
        let of_bin = |bin: &Vec<Vec<f64>>| {
            let all: f64 = bin.iter().flatten().sum();
            let of_kind: f64 = bin.iter().map(|p| p[k]).sum();
            (of_kind, all)
        };
        let totals: Vec<(f64, f64)> = counts.iter().map(of_bin).collect();
        let shares: Vec<f64> = totals.iter().map(|(of_kind, all)| of_kind / all.max(1.0)).collect();
        let (of_kind, all) = totals.iter().fold((0.0, 0.0), |s, t| (s.0 + t.0, s.1 + t.1));
        let mean = of_kind / f64::max(all, 1.0);
        let n = bins.max(1) as f64;
        let deviation = (shares.iter().map(|s| (s - mean).powi(2)).sum::<f64>() / n).sqrt();
        let chance = totals.iter().map(|(_, all)| mean * (1.0 - mean) / all.max(1.0)).sum::<f64>() / n;
        // How far each proxy is from the mean share, in requests.
        let (mut joint, mut separate) = (0.0, 0.0);
        for bin in &counts {
            let off = |p: &Vec<f64>| p[k] - mean * p.iter().sum::<f64>();
            joint += bin.iter().map(off).sum::<f64>().powi(2);
            separate += bin.iter().map(|p| off(p).powi(2)).sum::<f64>();
        }
        Swing {
            kind: kind.name.clone(),
            mean,
            deviation,
            chance: chance.sqrt(),
            in_step: joint / f64::max(separate, 1e-9),
            period: strongest_period(&shares),
            shares,
        }
    };
    kinds.iter().enumerate().map(swing).collect()
}

#[cfg(test)]
mod tests;
