//! Oracles: what must hold whatever happens, judged by what the stand-ins saw.

mod answers;
mod cold;
mod drains;
mod repeats;
mod unaltered;

use crate::record::{seconds, Observation, ProxyEvent, Record, TryId};
use crate::world::plan::Plan;
use lotusdeck_policy::{Micros, Time};
use std::collections::HashMap;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Broken {
    /// Which oracle says so.
    pub oracle: &'static str,
    /// The try that it concerns.
    pub id: Option<TryId>,
    /// What happened.
    pub text: String,
}

/// What every oracle looks things up in.
pub struct Seen<'a> {
    /// What was to happen.
    pub plan: &'a Plan,
    /// In the order of time.
    pub records: &'a [Record],
    /// When and to which proxy each try was sent.
    asked: HashMap<TryId, Sent>,
    /// The turns of each proxy's life.
    turns: Vec<(Time, usize, ProxyEvent)>,
}

impl<'a> Seen<'a> {
    /// `records` in the order of time.
    pub fn new(plan: &'a Plan, records: &'a [Record]) -> Seen<'a> {
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
        Seen { plan, records, asked, turns }
    }

    /// The class of a try; `None` for one that the plan does not hold.
    fn class(&self, id: TryId) -> Option<&crate::experiment::Class> {
        let arrival = self.plan.arrivals.get(id.arrival as usize)?;
        self.plan.experiment.class.get(arrival.class)
    }

    /// Whether the proxy was killed in that time, or had been told to stop so long before that it owes nothing.
    fn excused(&self, proxy: usize, from: Time, to: Time) -> bool {
        let near = Micros(5_000); // the two clocks of a kill: the driver's and the sockets'
        let turns = self.turns.iter().filter(|t| t.1 == proxy);
        let mut over = false;
        for (at, _, turn) in turns {
            match turn {
                ProxyEvent::Killed if *at + near >= from && *at <= to + near => return true,
                // A process that dies still holds its socket for some milliseconds.
                ProxyEvent::Killed => over = from >= *at,
                ProxyEvent::Stopping => over = from >= *at + Micros(700_000),
                ProxyEvent::Ready if *at <= from => over = false,
                _ => {}
            }
        }
        over
    }
}

/// How many broken rules of one oracle are told one by one.
pub const MAX_LISTED: usize = 20;

/// How a try was sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    at: Time,
    proxy: usize,
    /// How long its client said that it waits.
    left: Micros,
}

/// All that was broken, oracle by oracle.
pub fn judge(plan: &Plan, records: &[Record]) -> Vec<Broken> {
    let seen = Seen::new(plan, records);
    let oracles = [answers::check, repeats::check, drains::check, cold::check, unaltered::check];
    oracles.iter().flat_map(|check| check(&seen)).collect()
}

/// Everything that was seen of an arrival, line by line.
pub fn timeline(plan: &Plan, records: &[Record], id: TryId) -> String {
    let Some(arrival) = plan.arrivals.get(id.arrival as usize) else { return String::new() };
    let class = &plan.experiment.class[arrival.class].name;
    let mut out = format!("  {id} is {class}, due at {}\n", seconds(arrival.at));
    for r in records.iter().filter(|r| r.id().is_some_and(|other| other.arrival == id.arrival)) {
        out.push_str(&format!("  {:>12}  {:?}\n", seconds(r.at), r.what));
    }
    out
}

/// How many requests were out at a proxy when it was killed: they are told apart from lost ones.
pub fn lost_with_proxies(plan: &Plan, records: &[Record]) -> usize {
    let seen = Seen::new(plan, records);
    let broke = |r: &&Record| match r.what {
        Observation::Broke { id, .. } => {
            seen.asked.get(&id).is_some_and(|s| seen.excused(s.proxy, s.at, r.at))
        }
        _ => false,
    };
    records.iter().filter(broke).count()
}

#[cfg(test)]
pub(crate) mod tests;
