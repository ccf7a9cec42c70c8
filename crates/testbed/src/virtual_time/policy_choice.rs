//! Which policy plays in a run in virtual time: the real decision module, or one that the product never contains.

use super::baseline_policies::{BaselinePolicy, Choice};
use super::policy::Policy;
use crate::world::plan::Plan;
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::{Balancer, ConfigError};
use serde::{Deserialize, Serialize};

/// Which policy plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyChoice {
    /// The product's own module: HALB, learning as it goes.
    #[default]
    Halb,
    /// Any ready backend, evenly.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one on which this proxy holds least.
    LeastOutstanding,
    /// The one of two drawn at random on which this proxy holds less (Mitzenmacher, 2001).
    TwoChoices,
    /// The one of two drawn at random with the lower peak-EWMA of latency times what is held.
    PeakEwma,
    /// At random in proportion to true speed.
    TrueSpeed,
    /// HALB's shares from true speeds and the true arrival rate, nothing learned, no care for trouble.
    TrueHalb,
    /// The backend that is through first, as it truly stands.
    Oracle,
}

impl PolicyChoice {
    /// One proxy's instance.
    ///
    /// # Errors
    /// Where the module does not take the settings.
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

/// HALB's share of each backend from what is true: servers of one speed are a kind.
fn true_halb(plan: &Plan) -> Vec<f64> {
    let (e, mean) = (&plan.experiment, plan.experiment.mean_work());
    let speed = |b: &crate::world::backend::Spec| b.build.cores * b.build.speed / mean;
    let kinds: Vec<(f64, f64)> = e.kind.iter().map(|k| (k.count as f64, k.cores * k.speed / mean)).collect();
    let shares = lotusdeck_policy::halb_shares(&kinds, Some(e.rate(0.0)));
    let of = |b: &crate::world::backend::Spec| {
        let at = e.kind.iter().position(|k| k.name == b.kind).unwrap_or(0);
        let (count, own) = (kinds[at].0, speed(b));
        debug_assert!((own - kinds[at].1).abs() < 1e-9);
        shares[at] / count
    };
    plan.fleet.iter().map(of).collect()
}
