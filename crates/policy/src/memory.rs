//! What the module learned, handed out so that it can outlive the process, and taken back at the next start.
//! No decisions: how far a memory of some age is believed is told by who keeps it, in the samples that it is
//! worth.

use crate::api::*;
use crate::estimators::{MovingAverage, TokenBucket};
use crate::rules::Balancer;
use crate::state::ClassState;

/// What was spent on a backend inside the fall window is kept in so many slots at most, not by ticks: 200
/// backends at a tick of 5 ms would be 80,000 numbers a second.
const SLOTS: u64 = 8;

trait EstimateExt {
    fn of(mean: &MovingAverage) -> Estimate;
    fn mean(self) -> Option<MovingAverage>;
}
impl EstimateExt for Estimate {
    fn of(mean: &MovingAverage) -> Estimate {
        Estimate { value: mean.value, samples: mean.count }
    }

    /// Only what can be a mean of times or rates is taken: a file may hold anything.
    fn mean(self) -> Option<MovingAverage> {
        let sound =
            self.value > 0.0 && self.value.is_finite() && self.samples > 0.0 && self.samples.is_finite();
        sound.then_some(MovingAverage { value: self.value, count: self.samples })
    }
}

impl Balancer {
    /// What is worth keeping at `now`. Looks at each backend once.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let window = self.cfg.overload_window;
        let cold =
            |b: &Backend| b.started_at.is_some_and(|at| now - window - at < self.cfg.slow_start_duration);
        let mut memory = Snapshot {
            overall_latency: Estimate::of(&self.overall),
            class_latency: self
                .classes
                .iter()
                .map(|c| Estimate::of(&c.latency))
                .enumerate()
                .map(|(i, e)| (ClassId(i), e))
                .collect(),
            kinds: self
                .kinds
                .iter()
                .map(|(id, k)| {
                    (*id, KindEstimates { latency: Estimate::of(&k.latency), flow: Estimate::of(&k.flows) })
                })
                .collect(),
            ..Snapshot::default()
        };
        for (&id, p) in &self.peers {
            if p.ejected.is_some() {
                memory.ejected.push((id, u32::try_from(p.strikes).unwrap_or(0)));
            }
            if cold(&p.entry) {
                // The newest first, so that each slot counts from its newest: sooner forgotten would be too
                // little.
                let mut slot = None;
                for (at, work) in p.spent.iter().rev().filter(|s| now - s.0 < window) {
                    let (ago, mine) = (now - *at, ((now - *at).0 * SLOTS).checked_div(window.0));
                    match memory.warmup_spend.last_mut().filter(|_| slot == Some(mine)) {
                        Some(last) => last.work += work,
                        None => memory.warmup_spend.push(WarmupSpend { backend: id, ago, work: *work }),
                    }
                    slot = Some(mine);
                }
            }
        }
        memory
    }

    /// Makes room for so many classes, and forgets what was learned under numbers that mean something else
    /// now.
    pub(crate) fn renew(&mut self, classes: usize, renewed: &ReassignedIds) {
        self.classes.resize_with(classes, ClassState::default);
        for class in &renewed.classes {
            self.classes.get_mut(class.0).into_iter().for_each(|c| *c = ClassState::default());
        }
        for tenant in &renewed.tenants {
            self.buckets.get_mut(tenant.0).into_iter().for_each(|b| *b = TokenBucket::default());
        }
        if !renewed.classes.is_empty() {
            let same = |class: &usize| renewed.classes.binary_search(&ClassId(*class)).is_err();
            self.peers.values_mut().for_each(|p| p.parts.retain(|class, _| same(class)));
        }
    }

    /// The classes that open requests and attempts which have not ended are of.
    pub fn classes_in_use(&self) -> impl Iterator<Item = ClassId> + '_ {
        let requests = self.requests.values().map(|r| r.class);
        requests.chain(self.attempts.values().map(|a| a.class)).map(ClassId)
    }

    /// Takes back what was learned before the process began, where nothing was learned since. Backends that
    /// were out of use begin on trial; work sent before counts against the cold budget of those that were
    /// sent it.
    pub(crate) fn recall(&mut self, now: Time, memory: &Snapshot) {
        let into = |own: &mut MovingAverage, kept: Estimate| match kept.mean() {
            Some(mean) if own.count <= 0.0 => *own = mean,
            _ => {}
        };
        into(&mut self.overall, memory.overall_latency);
        // A class's work is its latency beside that of all: one without the other tells nothing.
        let whole = self.overall.count > 0.0;
        for (id, kept) in memory.class_latency.iter().filter(|_| whole) {
            self.classes.get_mut(id.0).into_iter().for_each(|c| into(&mut c.latency, *kept));
        }
        for (id, kept) in &memory.kinds {
            let kind = self.kinds.entry(*id).or_default();
            into(&mut kind.latency, kept.latency);
            into(&mut kind.flows, kept.flow);
        }
        for (id, strikes) in &memory.ejected {
            let Some(p) = self.peers.get_mut(id) else { continue };
            // On trial from now on, as one whose term is over.
            (p.ejected, p.strikes, p.trials) =
                (Some(now), i32::try_from(*strikes).unwrap_or(i32::MAX).max(1), 0);
        }
        let window = self.cfg.overload_window;
        for s in memory.warmup_spend.iter().filter(|s| s.ago < window && s.work > 0.0 && s.work.is_finite()) {
            let Some(p) = self.peers.get_mut(&s.backend) else { continue };
            let at = now - s.ago;
            let place = p.spent.partition_point(|have| have.0 <= at);
            p.spent.insert(place, (at, s.work));
        }
    }
}
