//! A backend that drains, was removed from the list or is cordoned gets no new requests after the grace time.

use super::{Observations, Violation};
use crate::record::{seconds, Observation};
use crate::world::discovery::Status;
use lotusdeck_policy::{Micros, Time};
use std::collections::HashMap;

const NAME: &str = "drains are kept";
/// Time allowed from the first byte that the proxy sends to the last one that the backend reads.
const TRANSIT_TIME: Micros = Micros(50_000);

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let grace = Micros((observations.plan.experiment.rules.drain_grace_ms * 1e3) as u64 + TRANSIT_TIME.0);
    // Since when the list (`false`) or the operators (`true`) forbid new requests, by proxy and backend.
    let mut forbidden_since: HashMap<(usize, usize, bool), Time> = HashMap::new();
    let mut out = Vec::new();
    for r in observations.records {
        let (key, forbidden) = match r.what {
            Observation::Told { proxy, backend, status } => {
                ((proxy, backend, false), status != Status::Serving)
            }
            Observation::Cordoned { proxy, backend, out } => ((proxy, backend, true), out),
            Observation::Began { id, backend } => {
                let Some(sent) = observations.asked.get(&id) else { continue };
                for by_operators in [false, true] {
                    let Some(since) = forbidden_since.get(&(sent.proxy, backend, by_operators)) else {
                        continue;
                    };
                    if r.at > *since + grace {
                        let who = if by_operators { "operators" } else { "the list" };
                        let late = seconds(Time((r.at - *since).0));
                        let text = format!("sent to backend {backend} {late} after {who} had barred it");
                        out.push(Violation { oracle: NAME, id: Some(id), text });
                    }
                }
                continue;
            }
            _ => continue,
        };
        if forbidden {
            forbidden_since.entry(key).or_insert(r.at);
        } else {
            forbidden_since.remove(&key);
        }
    }
    out
}

#[cfg(test)]
mod tests;
