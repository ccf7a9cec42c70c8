//! A backend that has just started is not overloaded.

use super::{Observations, Violation};
use crate::record::Observation;

const NAME: &str = "cold budget kept";
/// Number of requests of mean work that are tolerated above the limit, as work is random.
const SLACK: f64 = 4.0;

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let slack = SLACK * observations.plan.experiment.mean_work();
    let over = observations.records.iter().filter_map(|r| match r.what {
        Observation::Pressure { backend, sent, bears } if sent > bears + slack => {
            let text = format!(
                "backend {backend} was sent {sent:.3} core-s in a window in which it bears {bears:.3}"
            );
            Some(Violation { oracle: NAME, id: None, text })
        }
        _ => None,
    });
    over.collect()
}

#[cfg(test)]
mod tests;
