//! Backends receive exactly the requests that clients sent, and clients exactly the answers that backends gave.

use super::{Observations, Violation};
use crate::record::Observation;

const NAME: &str = "nothing altered";

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let altered = observations.records.iter().filter_map(|r| {
        let text = match &r.what {
            Observation::Foreign { backend, text } => format!("backend {backend} was sent {text}"),
            Observation::Answered { status: 200, own: false, .. } => "served with another body".to_string(),
            Observation::Began { id, .. } if !observations.asked.contains_key(id) => {
                "it reached a backend, but no client sent it".into()
            }
            _ => return None,
        };
        Some(Violation { oracle: NAME, id: r.id(), text })
    });
    altered.collect()
}

#[cfg(test)]
mod tests;
