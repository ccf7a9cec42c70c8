//! The choice of the policy for a run in virtual time: the decision module, or a baseline policy that the product
//! does not contain.

use super::baseline_policies::{BaselinePolicy, Choice};
use super::policy::Policy;
use crate::world::plan::Plan;
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::{Balancer, ConfigError};
use serde::{Deserialize, Serialize};

/// The policy of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyChoice {
    /// The product's decision module: HALB from what it learns during the run.
    #[default]
    Halb,
    /// Any ready backend, evenly.
    Random,
    /// The ready backends in turn.
    RoundRobin,
    /// The backend with the fewest attempts of this proxy in flight.
    LeastOutstanding,
    /// Of two backends drawn at random, the one with fewer attempts of this proxy in flight (Mitzenmacher, 2001).
    TwoChoices,
    /// Of two backends drawn at random, the one with the lower peak-EWMA of latency times attempts in flight.
    PeakEwma,
    /// Any ready backend, at random in proportion to its true speed.
    TrueSpeed,
    /// HALB's shares from the true speeds and the true arrival rate, without learning and without reaction to
    /// troubles.
    TrueHalb,
    /// The backend with the least load for its true speed.
    Oracle,
}

impl PolicyChoice {
    /// Creates the policy of one proxy.
    ///
    /// # Errors
    /// When the decision module rejects the settings.
    pub fn build(self, settings: &Settings, plan: &Plan, seed: u64) -> Result<Box<dyn Policy>, ConfigError> {
        let choice = match self {
            PolicyChoice::Halb => return Ok(Box::new(Balancer::new(settings.config.clone(), seed)?)),
            PolicyChoice::Random => Choice::Random,
            PolicyChoice::RoundRobin => Choice::RoundRobin,
            PolicyChoice::LeastOutstanding => Choice::LeastOutstanding,
            PolicyChoice::TwoChoices => Choice::TwoChoices,
            PolicyChoice::PeakEwma => Choice::PeakEwma,
            PolicyChoice::TrueSpeed => {
                Choice::Weighted(plan.fleet.iter().map(|b| b.build.cores * b.build.speed).collect())
            }
            PolicyChoice::TrueHalb => Choice::Weighted(true_halb(plan)),
            PolicyChoice::Oracle => Choice::Oracle,
        };
        Ok(Box::new(BaselinePolicy::new(choice, settings.config.clone(), seed)))
    }
}

/// Computes HALB's share of each backend from true speeds, at the arrival rate of the run's start. All backends of
/// a kind have the same speed.
fn true_halb(plan: &Plan) -> Vec<f64> {
    let (e, mean) = (&plan.experiment, plan.experiment.mean_work());
    let speed = |b: &crate::world::backend::Spec| b.build.cores * b.build.speed / mean;
    let kinds: Vec<(f64, f64)> = e.kind.iter().map(|k| (k.count as f64, k.cores * k.speed / mean)).collect();
    let shares = lotusdeck_policy::halb_shares(&kinds, Some(e.rate(0.0)));
    let of = |b: &crate::world::backend::Spec| {
        let at = e.kind.iter().position(|k| k.name == b.kind).unwrap_or(0);
        let (count, backend_speed) = (kinds[at].0, speed(b));
        debug_assert!((backend_speed - kinds[at].1).abs() < 1e-9);
        shares[at] / count
    };
    plan.fleet.iter().map(of).collect()
}
