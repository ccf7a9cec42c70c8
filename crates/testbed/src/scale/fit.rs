//! Power laws fitted to measured points: `y = factor * x^power`, by least squares on the logarithms of `x` and `y`.

use serde::{Deserialize, Serialize};

/// Minimum number of points: a law through fewer passes through all of them and has no meaningful residual.
const MIN_POINTS: usize = 3;

/// A fitted power law.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The value of `y` at `x` = 1.
    pub factor: f64,
    /// The exponent: 0 if `y` does not depend on `x`, 1 if it is linear, 2 if it is quadratic.
    pub power: f64,
    /// The residual standard deviation of the points, as a ratio: 0.1 is about 10 percent.
    pub residual: f64,
}

impl Fit {
    /// Fits a law to the points whose coordinates are above 0; the others have no logarithm and are left out.
    /// Returns `None` if fewer than three remain or all have the same `x`.
    pub fn from_points(points: &[(f64, f64)]) -> Option<Fit> {
        let logs: Vec<(f64, f64)> =
            points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect();
        if logs.len() < MIN_POINTS {
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

    /// Evaluates the law at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.factor * x.powf(self.power)
    }
}
