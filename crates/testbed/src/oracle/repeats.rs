//! A single-shot request is not sent again after it may have run, and is then not answered with a status that
//! invites a repeat.

use super::{Observations, Violation};
use crate::experiment::Effect;
use crate::record::{Observation, RequestEnd, TryId};
use std::collections::HashMap;

const NAME: &str = "nothing runs twice";

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let is_single_shot = |id: TryId| observations.class(id).is_some_and(|c| c.effect == Effect::SingleShot);
    // How often a try has begun at a backend, without those that the backend rejected.
    let mut runs: HashMap<TryId, u32> = HashMap::new();
    let mut out = Vec::new();
    for r in observations.records {
        let Some(id) = r.id().filter(|id| is_single_shot(*id)) else { continue };
        let count = runs.entry(id).or_default();
        match r.what {
            Observation::Began { backend, .. } => {
                *count += 1;
                if *count > 1 {
                    let text = format!("sent to backend {backend} after it may have run");
                    out.push(Violation { oracle: NAME, id: Some(id), text });
                }
            }
            Observation::Ended { how: RequestEnd::TurnedAway, .. } => *count = count.saturating_sub(1),
            Observation::Answered { status: status @ (429 | 503), .. } if *count > 0 => {
                let text = format!("answered {status} though it may have run");
                out.push(Violation { oracle: NAME, id: Some(id), text });
            }
            _ => {}
        }
    }
    out
}

#[cfg(test)]
mod tests;
