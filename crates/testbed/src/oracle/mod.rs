//! Oracles: rules that must hold in every run, checked on the stand-ins' records.

mod answers;
mod cold;
mod drains;
mod repeats;
mod unaltered;

use crate::record::{seconds, Observation, ProxyEvent, Record, TryId};
use crate::world::plan::Plan;
use lotusdeck_policy::{Micros, Time};
use std::collections::HashMap;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Violation {
    /// The name of the oracle.
    pub oracle: &'static str,
    /// The try concerned, if it is about one.
    pub id: Option<TryId>,
    /// Description of what happened.
    pub text: String,
}

/// The input of all oracles: the plan, the records, and indexes of them.
pub struct Observations<'a> {
    /// The plan of the run.
    pub plan: &'a Plan,
    /// The records, ordered by time.
    pub records: &'a [Record],
    /// How each try was sent.
    asked: HashMap<TryId, Sent>,
    /// The starts, stops and kills of proxies, ordered by time.
    turns: Vec<(Time, usize, ProxyEvent)>,
}

impl<'a> Observations<'a> {
    /// Indexes `records`, which must be ordered by time.
    pub fn new(plan: &'a Plan, records: &'a [Record]) -> Observations<'a> {
        let (mut asked, mut turns) = (HashMap::new(), Vec::new());
        for r in records {
            match r.what {
                Observation::Asked { id, proxy, left } => {
                    asked.insert(id, Sent { at: r.at, proxy, left: Micros(left) });
                }
                Observation::Proxy { proxy, turn } => turns.push((r.at, proxy, turn)),
                _ => {}
            }
        }
        Observations { plan, records, asked, turns }
    }

    /// Returns the class of a try; `None` if the plan does not contain its arrival.
    fn class(&self, id: TryId) -> Option<&crate::experiment::Class> {
        let arrival = self.plan.arrivals.get(id.arrival as usize)?;
        self.plan.experiment.class.get(arrival.class)
    }

    /// Returns whether a proxy need not answer a try sent at `from` whose client saw the end at `to`: it was
    /// killed in between, or at `from` was dead or had been told to stop at least 700 ms earlier.
    fn excused(&self, proxy: usize, from: Time, to: Time) -> bool {
        let tolerance = Micros(5_000); // between the driver's record of a kill and its effect on the sockets
        let turns = self.turns.iter().filter(|t| t.1 == proxy);
        let mut down = false;
        for (at, _, turn) in turns {
            match turn {
                ProxyEvent::Killed if *at + tolerance >= from && *at <= to + tolerance => return true,
                // The socket of a killed process still accepts connections for some milliseconds.
                ProxyEvent::Killed if *at <= from => down = true,
                ProxyEvent::Stopping if *at + Micros(700_000) <= from => down = true,
                ProxyEvent::Ready if *at <= from => down = false,
                _ => {}
            }
        }
        down
    }
}

/// Most violations that are listed one by one.
pub const MAX_LISTED: usize = 20;

/// When, where and with how much time left a try was sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    at: Time,
    proxy: usize,
    /// Time left that the client gave in the request.
    left: Micros,
}

/// Returns all violations, grouped by oracle.
pub fn find_violations(plan: &Plan, records: &[Record]) -> Vec<Violation> {
    let observations = Observations::new(plan, records);
    let oracles = [answers::check, repeats::check, drains::check, cold::check, unaltered::check];
    oracles.iter().flat_map(|check| check(&observations)).collect()
}

/// Describes the arrival of a try and lists its records, one per line.
pub fn timeline(plan: &Plan, records: &[Record], id: TryId) -> String {
    let Some(arrival) = plan.arrivals.get(id.arrival as usize) else { return String::new() };
    let class = &plan.experiment.class[arrival.class].name;
    let mut out = format!("  {id} is {class}, due at {}\n", seconds(arrival.at));
    for r in records.iter().filter(|r| r.id().is_some_and(|other| other.arrival == id.arrival)) {
        out.push_str(&format!("  {:>12}  {:?}\n", seconds(r.at), r.what));
    }
    out
}

/// Counts the requests whose connection broke because their proxy was killed or stopped. The oracles do not count
/// them as lost.
pub fn lost_with_proxies(plan: &Plan, records: &[Record]) -> usize {
    let observations = Observations::new(plan, records);
    let broke = |r: &&Record| match r.what {
        Observation::Broke { id, .. } => {
            observations.asked.get(&id).is_some_and(|s| observations.excused(s.proxy, s.at, r.at))
        }
        _ => false,
    };
    records.iter().filter(broke).count()
}

#[cfg(test)]
pub(crate) mod tests;
