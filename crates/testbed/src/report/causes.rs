//! Where worth is lost: the cause for each arrival that earned less than its worth, from the stand-ins' records.

use crate::driver::run::Outcome;
use crate::record::{Observation, RequestEnd};
use crate::world::backend::Health;
use crate::world::plan::{Act, Plan};
use lotusdeck_policy::Time;
use std::collections::HashMap;

/// Why an arrival earned less than its worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It reached no backend and its last answer was a refusal, while fewer requests were at the backends than
    /// these have cores.
    RefusedWithRoom,
    /// It reached no backend and its last answer was a refusal, while at least as many requests were at the
    /// backends as these have cores.
    RefusedFull,
    /// Served late, after more time before it reached the backend than there.
    Held,
    /// Served late, after at least as much time at the backend as before it.
    Slow,
    /// Not served, though it reached a backend. The backend died or rejected it, for example, or it was withdrawn.
    LostAtBackend,
    /// It reached no backend and was neither served nor refused: its client left, or got an error or no answer.
    Unanswered,
}

/// All causes with their names.
pub const CAUSES: [(Cause, &str); 6] = [
    (Cause::RefusedWithRoom, "refused, room"),
    (Cause::RefusedFull, "refused, full"),
    (Cause::Held, "held"),
    (Cause::Slow, "slow"),
    (Cause::LostAtBackend, "lost there"),
    (Cause::Unanswered, "unanswered"),
];

/// The worth and work lost in a run.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// Worth lost by cause, as a part of all worth asked for, in the order of [`CAUSES`].
    pub by_cause: [f64; CAUSES.len()],
    /// Requests that backends took without serving a client, as a part of all that backends took.
    pub wasted: f64,
}

/// The course of one arrival.
#[derive(Clone, Copy, Default)]
struct ArrivalResult {
    asked: Option<Time>,
    /// When it last reached a backend.
    began: Option<Time>,
    served: Option<Time>,
    refused: Option<bool>,
    lost_attempt: bool,
}

/// The health of the backends and their cores in service, according to the plan's acts.
struct Cores {
    health: Vec<Health>,
    serving: f64,
}

impl Cores {
    fn act(&mut self, plan: &Plan, act: &Act) {
        let (which, health) = match act {
            Act::Kill(w) | Act::Remove(w) => (w, Health::Down),
            Act::Drain(w) => (w, Health::Draining),
            Act::Start(w) => (w, Health::Up),
            Act::Hang(w, silent) => (w, if *silent { Health::Hung } else { Health::Up }),
            Act::Cordon(w, out) => (w, if *out { Health::Draining } else { Health::Up }),
            _ => return,
        };
        for &b in which {
            let cores = plan.fleet[b].build.cores;
            let was_up = self.health[b] == Health::Up;
            self.serving += cores * (f64::from(health == Health::Up) - f64::from(was_up));
            self.health[b] = health;
        }
    }
}

impl Losses {
    /// Computes the losses of a run.
    pub fn compute(plan: &Plan, outcome: &Outcome) -> Losses {
        let mut results = vec![ArrivalResult::default(); plan.arrivals.len()];
        let serving = plan.fleet.iter().map(|b| b.build.cores).sum();
        let mut cores = Cores { health: vec![Health::Up; plan.fleet.len()], serving };
        let mut acts = plan.acts.iter().peekable();
        // Requests at backends, by arrival, try and backend.
        let mut at_backends: HashMap<(u32, u32, usize), u32> = HashMap::new();
        let (mut held, mut reached, mut used) = (0u64, 0u64, 0u64);
        for r in &outcome.records {
            while let Some((_, act)) = acts.next_if(|(at, _)| *at <= r.at) {
                cores.act(plan, act);
            }
            let Some(id) = r.id() else { continue };
            let Some(result) = results.get_mut(id.arrival as usize) else { continue };
            match r.what {
                Observation::Asked { .. } => result.asked = result.asked.or(Some(r.at)),
                Observation::Began { backend, .. } => {
                    *at_backends.entry((id.arrival, id.no, backend)).or_default() += 1;
                    (held, reached) = (held + 1, reached + 1);
                    result.began = Some(r.at);
                }
                Observation::Ended { backend, how, .. } => {
                    if at_backends.remove(&(id.arrival, id.no, backend)).is_some() {
                        held = held.saturating_sub(1);
                    }
                    result.lost_attempt |=
                        matches!(how, RequestEnd::Died | RequestEnd::TurnedAway | RequestEnd::Withdrawn);
                    reached -= u64::from(how == RequestEnd::TurnedAway && reached > 0);
                }
                Observation::Answered { status: 200, own: true, .. } => {
                    used += u64::from(result.served.is_none());
                    result.served = result.served.or(Some(r.at));
                }
                Observation::Answered { status, .. } => {
                    let has_room = (held as f64) < cores.serving;
                    result.refused = matches!(status, 429 | 503).then_some(has_room);
                }
                _ => {}
            }
        }
        let mut out = Losses::default();
        let mut asked = 0.0;
        for (arrival, result) in plan.arrivals.iter().zip(&results) {
            let class = &plan.experiment.class[arrival.class];
            asked += class.worth;
            let Some((cause, lost)) = classify_loss(class, arrival.at, result) else { continue };
            let at = CAUSES.iter().position(|c| c.0 == cause).unwrap_or(0);
            out.by_cause[at] += lost;
        }
        out.by_cause.iter_mut().for_each(|l| *l /= f64::max(asked, 1e-9));
        out.wasted = reached.saturating_sub(used) as f64 / reached.max(1) as f64;
        out
    }
}

/// Returns why an arrival earned less than its worth, and the worth lost; `None` when it was served in time.
fn classify_loss(
    class: &crate::experiment::Class, due: Time, result: &ArrivalResult,
) -> Option<(Cause, f64)> {
    if let Some(at) = result.served {
        if (at - due).0 as f64 <= class.aim_ms * 1e3 {
            return None;
        }
        // All the time before it reached the backend that served it was spent waiting at clients and proxies.
        let at_backend = result.began.map_or(0, |began| (at - began).0);
        let cause = if (at - due).0 > 2 * at_backend { Cause::Held } else { Cause::Slow };
        return Some((cause, class.worth * (1.0 - class.late_worth)));
    }
    let cause = match result.refused {
        _ if result.began.is_some() || result.lost_attempt => Cause::LostAtBackend,
        Some(true) => Cause::RefusedWithRoom,
        Some(false) => Cause::RefusedFull,
        None => Cause::Unanswered,
    };
    Some((cause, class.worth))
}

#[cfg(test)]
mod tests;
