//! Power laws fitted to measured points: `y = factor * x^power`, by least squares on the logarithms of both.

use serde::{Deserialize, Serialize};

/// A law with fewer points than this would pass through all of them and say nothing of its residual.
const LEAST_POINTS: usize = 3;

/// A fitted law.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// What one of `x` brings.
    pub factor: f64,
    /// 0 where `x` does not matter, 1 where `y` grows with it, 2 where it grows with its square.
    pub power: f64,
    /// The standard deviation of the points from the law, as a ratio: 0.1 means about ten percent.
    pub residual: f64,
}

impl Fit {
    /// The law of points whose coordinates are above 0; the others are left out, as they have no logarithm. `None`
    /// where fewer than three remain or all have one `x`.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let logs: Vec<(f64, f64)> =
            points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect();
        if logs.len() < LEAST_POINTS {
            return None;
        }
        let count = logs.len() as f64;
        let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if spread < f64::EPSILON {
            return None;
        }
        let power = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let intercept = mean_y - power * mean_x;
        let squares: f64 = logs.iter().map(|(x, y)| (y - intercept - power * x).powi(2)).sum();
        let residual = (squares / (count - 2.0)).sqrt().exp() - 1.0;
        Some(Fit { factor: intercept.exp(), power, residual })
    }

    /// What the law gives for `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.factor * x.powf(self.power)
    }
}
