//! Comparison of two sets of runs, with a confidence interval of their difference.

use super::figures::Figures;
use std::fmt::Write;

/// Two-sided 95 % points of Student's t, for 1 to 30 degrees of freedom (Abramowitz and Stegun, table 26.10).
const T95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// Returns the mean and the half-width of its 95 % confidence interval, which is `None` for fewer than two
/// samples.
pub fn interval(samples: &[f64]) -> (f64, Option<f64>) {
    let n = samples.len() as f64;
    let mean = samples.iter().sum::<f64>() / n.max(1.0);
    if samples.len() < 2 {
        return (mean, None);
    }
    let variance = samples.iter().map(|s| (s - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = T95.get(samples.len() - 2).copied().unwrap_or(1.96);
    (mean, Some(t * (variance / n).sqrt()))
}

type Measure = (String, fn(&Figures) -> f64);

fn measures() -> Vec<Measure> {
    vec![
        ("worth".into(), |f| f.whole.earned_part()),
        ("p50 ms".into(), |f| f.whole.latency_ms.p50),
        ("p99 ms".into(), |f| f.whole.latency_ms.p99),
        ("attempts".into(), |f| f.attempts),
        ("cpu us".into(), |f| f.cpu_us),
    ]
}

/// Formats a table that compares B with A. Runs of the same seed and plan are paired, which removes the variance
/// that they share; void runs are left out.
pub fn compare(a: &[Figures], b: &[Figures]) -> String {
    let mut out = format!("{:<20} {:>12} {:>12} {:>12} {:>22}\n", "", "A", "B", "B - A", "95 % interval");
    let pairs: Vec<(&Figures, &Figures)> = a
        .iter()
        .filter_map(|x| Some((x, b.iter().find(|y| y.seed == x.seed && y.plan_hash == x.plan_hash)?)))
        .filter(|(x, y)| x.void.is_none() && y.void.is_none())
        .collect();
    let mut line = |name: &str, of: &dyn Fn(&Figures) -> f64| {
        let left: Vec<f64> = pairs.iter().map(|p| of(p.0)).collect();
        let right: Vec<f64> = pairs.iter().map(|p| of(p.1)).collect();
        let differences: Vec<f64> = left.iter().zip(&right).map(|(x, y)| y - x).collect();
        let (mean, half) = interval(&differences);
        let (x, y) = (interval(&left).0, interval(&right).0);
        let width = half.map_or("one pair: none".into(), |h| format!("{:+.4} to {:+.4}", mean - h, mean + h));
        let _ = writeln!(out, "{name:<20} {x:>12.4} {y:>12.4} {mean:>+12.4} {width:>22}");
    };
    measures().iter().for_each(|(name, of)| line(name, of));
    let classes = pairs.first().map_or(0, |p| p.0.classes.len().min(p.1.classes.len()));
    for c in 0..classes {
        line(&format!("worth {}", pairs[0].0.classes[c].name), &|f| f.classes[c].earned_part());
    }
    let _ = writeln!(out, "{} pairs of the same plan; {} and {} runs in all", pairs.len(), a.len(), b.len());
    out
}

#[cfg(test)]
mod tests;
