//! The plan of a run: everything random, drawn before the run begins. The same experiment and seed give the same
//! plan on every machine, which its hash shows.

use super::backend::{FallRule, Spec};
use super::rng::{Rng, Zipf};
use super::station::Build;
use crate::experiment::{Experiment, Trouble, TroubleKind};
use lotusdeck_policy::{Micros, Time};
use xxhash_rust::xxh3::Xxh3;

/// One thing that a client wants, for which it makes one or more tries.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When its first try is due.
    pub at: Time,
    /// Index of its class.
    pub class: usize,
    /// The key it asks for.
    pub key: u64,
    /// Its work, in core-seconds of a standard core.
    pub work: f64,
    /// The client leaves this long after `at`, if that is before the deadline.
    pub patience: Micros,
}

/// Something that happens to backends, discovery or proxies at one point in time.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Processes of backends die.
    Kill(Vec<usize>),
    /// Backends begin to drain.
    Drain(Vec<usize>),
    /// Backends are removed from the list; processes that still run end.
    Remove(Vec<usize>),
    /// Backends start, cold.
    Start(Vec<usize>),
    /// Backends run at that part of their speed.
    Slow(Vec<usize>, f64),
    /// All backends run at that part of their speed, as a shared dependency is slow.
    SharedSlow(f64),
    /// Machines hang, or come back.
    Hang(Vec<usize>, bool),
    /// Operators cordon backends, or uncordon them.
    Cordon(Vec<usize>, bool),
    /// Discovery goes down, or comes back.
    DiscoveryDown(bool),
    /// Discovery's delay is that multiple of the usual one.
    DiscoveryLag(f64),
    /// A proxy is killed.
    KillProxy(usize),
    /// A proxy is stopped in order, by a signal.
    StopProxy(usize),
    /// A proxy is started.
    StartProxy(usize),
    /// A proxy reloads its configuration.
    Reload(usize),
}

/// Everything drawn for a run.
pub struct Plan {
    /// The experiment it was drawn from.
    pub experiment: Experiment,
    /// Seed of the draws.
    pub seed: u64,
    /// The arrivals, ordered by time.
    pub arrivals: Vec<Arrival>,
    /// The acts, ordered by time.
    pub acts: Vec<(Time, Act)>,
    /// The backends.
    pub fleet: Vec<Spec>,
    /// Hash of the arrivals, acts and fleet.
    pub hash: u64,
}

/// Seconds until a killed or stopped proxy starts again, where the experiment names no time.
const PROXY_RESTART_S: f64 = 1.0;
/// Seconds until a draining backend is removed from the list.
const DRAIN_S: f64 = 2.0;

fn time(seconds: f64) -> Time {
    Time((seconds * 1e6).round().max(0.0) as u64)
}

impl Plan {
    /// Draws the plan of an experiment with a seed.
    pub fn draw(experiment: &Experiment, seed: u64) -> Plan {
        let fleet = fleet(experiment);
        let arrivals = arrivals(experiment, seed);
        let mut acts = acts(experiment, seed, &fleet);
        acts.sort_by_key(|a| a.0);
        let mut hash = Xxh3::new();
        for a in &arrivals {
            for word in [a.at.0, a.class as u64, a.key, a.work.to_bits(), a.patience.0] {
                hash.update(&word.to_le_bytes());
            }
        }
        hash.update(format!("{acts:?}{fleet:?}").as_bytes());
        Plan { experiment: experiment.clone(), seed, arrivals, acts, fleet, hash: hash.digest() }
    }

    /// Returns the limit on the work that a cold backend may be sent.
    pub fn fall_rule(&self) -> FallRule {
        let rules = &self.experiment.rules;
        FallRule { multiple: rules.fall_multiple, window: Micros::from_secs(rules.fall_window_ms / 1e3) }
    }

    /// Returns the time at which arrivals end.
    pub fn end(&self) -> Time {
        time(self.experiment.duration_s)
    }
}

fn fleet(experiment: &Experiment) -> Vec<Spec> {
    let rules = &experiment.rules;
    let of_kind = experiment.kind.iter().flat_map(|k| std::iter::repeat_n(k, k.count));
    let spec = |(i, k): (usize, &crate::experiment::Kind)| Spec {
        name: format!("b-{i:04}"),
        kind: k.name.clone(),
        zone: experiment.zones[i % experiment.zones.len()].clone(),
        cell: (i / 4) as u64,
        build: Build {
            cores: k.cores,
            speed: k.speed,
            slots: k.slots,
            room: k.room,
            drag: k.drag,
            cold_from: rules.cold_from,
            ramp: Micros::from_secs(rules.ramp_ms / 1e3),
        },
        connections: k.connections,
        handshake: k.handshake_ms / 1e3,
        keys: k.keys,
        miss: k.miss,
    };
    of_kind.enumerate().map(spec).collect()
}

/// Draws arrivals from a Poisson process whose rate follows the phases, by thinning (Lewis and Shedler, 1979).
fn arrivals(experiment: &Experiment, seed: u64) -> Vec<Arrival> {
    let (mut arrival_rng, mut request_rng) = (Rng::new(seed, "arrivals"), Rng::new(seed, "requests"));
    let zipf = Zipf::new(experiment.clients.keys, experiment.clients.zipf);
    let shares: Vec<f64> = experiment.class.iter().map(|c| c.share).collect();
    let ends = experiment.load.phase.iter().flat_map(|p| [p.at_s, p.at_s + p.over_s]);
    let peak = ends.chain([0.0]).map(|at| experiment.rate(at)).fold(1e-9, f64::max);
    let (mut at, mut out) = (0.0, Vec::new());
    loop {
        at += arrival_rng.exponential(1.0 / peak);
        if at >= experiment.duration_s {
            return out;
        }
        if arrival_rng.unit() * peak >= experiment.rate(at) {
            continue;
        }
        let class = request_rng.weighted(&shares);
        let settings = &experiment.class[class];
        let leaves = request_rng.unit() < experiment.clients.impatient;
        let patience_part = request_rng.unit();
        let patience = settings.deadline_ms / 1e3 * if leaves { patience_part } else { 1.0 };
        out.push(Arrival {
            at: time(at),
            class,
            key: zipf.draw(&mut request_rng) as u64,
            work: request_rng.exponential(settings.work_ms / 1e3),
            patience: Micros::from_secs(patience),
        });
    }
}

fn acts(experiment: &Experiment, seed: u64, fleet: &[Spec]) -> Vec<(Time, Act)> {
    let mut out = Vec::new();
    for (i, t) in experiment.trouble.iter().enumerate() {
        let purpose = t.who.as_ref().map_or(format!("trouble {i}"), |who| format!("trouble of {who}"));
        let targets = targets(t, fleet, &mut Rng::new(seed, &purpose));
        let (at, end) = (time(t.at_s), t.for_s.map(|span| time(t.at_s + span)));
        let after = |span: f64| time(t.at_s + span);
        let factor = t.factor.unwrap_or(1.0);
        let proxy = t.proxy.unwrap_or(0);
        let mut both = |begin: Act, over: Act| {
            out.push((at, begin));
            out.extend(end.map(|end| (end, over)));
        };
        match t.what {
            TroubleKind::Slow => both(Act::Slow(targets.clone(), factor), Act::Slow(targets, 1.0)),
            TroubleKind::SharedSlow => both(Act::SharedSlow(factor), Act::SharedSlow(1.0)),
            TroubleKind::Hang => both(Act::Hang(targets.clone(), true), Act::Hang(targets, false)),
            TroubleKind::Cordon => both(Act::Cordon(targets.clone(), true), Act::Cordon(targets, false)),
            TroubleKind::DiscoveryDown => both(Act::DiscoveryDown(true), Act::DiscoveryDown(false)),
            TroubleKind::DiscoveryLag => both(Act::DiscoveryLag(factor), Act::DiscoveryLag(1.0)),
            TroubleKind::Kill => {
                let noticed = experiment.discovery.detect_ms / 1e3;
                if t.for_s.is_none_or(|span| span > noticed) {
                    out.push((after(noticed), Act::Remove(targets.clone())));
                }
                out.push((at, Act::Kill(targets.clone())));
                out.extend(end.map(|end| (end, Act::Start(targets))));
            }
            TroubleKind::Drain => {
                out.push((at, Act::Drain(targets.clone())));
                out.push((after(DRAIN_S), Act::Remove(targets.clone())));
                out.extend(t.for_s.map(|span| (after(span.max(DRAIN_S)), Act::Start(targets))));
            }
            TroubleKind::KillProxy | TroubleKind::RestartProxy => {
                let stop = if t.what == TroubleKind::KillProxy {
                    Act::KillProxy(proxy)
                } else {
                    Act::StopProxy(proxy)
                };
                out.push((at, stop));
                out.push((after(t.for_s.unwrap_or(PROXY_RESTART_S)), Act::StartProxy(proxy)));
            }
            TroubleKind::Reload => out.push((at, Act::Reload(proxy))),
        }
    }
    out
}

fn targets(t: &Trouble, fleet: &[Spec], rng: &mut Rng) -> Vec<usize> {
    let matches = |i: &usize| {
        t.kind.as_ref().is_none_or(|k| fleet[*i].kind == *k)
            && t.zone.as_ref().is_none_or(|z| fleet[*i].zone == *z)
    };
    let candidates: Vec<usize> = (0..fleet.len()).filter(matches).collect();
    let count = t.part.map_or(candidates.len(), |part| (part * candidates.len() as f64).round() as usize);
    rng.sample(candidates.len(), count).into_iter().map(|i| candidates[i]).collect()
}

#[cfg(test)]
mod tests;
