//! The stages of a solution: what each does with each backend.

use super::context::SolverContext;
use super::solution::{KindTotals, Solution};
use crate::admission::TARGET_IN_FLIGHT_PER_BACKEND;
use crate::api::{BackendId, Config, KindId, Time, ZoneId};
use crate::backend_health::BackendHealth;
use crate::backend_table::OrderKey;
use crate::estimates::KindStats;
use crate::slow_start::slow_start_factor;
use crate::subset::{subset_position, SubsetWindow};
use std::collections::BTreeMap;

/// Minimum divisor for sums of shares that may be zero.
const MIN_SHARE: f64 = 1e-9;
/// Factor of a backend's readiness or traffic share that is added to its traffic share or pick weight: a
/// backend that would otherwise get no traffic takes the overflow when all others are at their limits.
const OVERFLOW_FACTOR: f64 = 1e-6;

/// The stages of a solution, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum SolverStage {
    /// No solution is in progress.
    #[default]
    Idle,
    Census,
    Readiness,
    ZoneShares,
    TrafficShares,
    Subset,
}

/// Progress of a solution.
#[derive(Default)]
pub(super) struct StageProgress {
    pub stage: SolverStage,
    /// The next backend of the stage; the order key is used by the subset stage only.
    pub resume_at: OrderKey,
}

/// Continues the stage while steps are left; returns whether it has visited all backends.
pub(super) fn run_stage(
    progress: &mut StageProgress, solution: &mut Solution, context: &mut SolverContext<'_>,
    steps_left: &mut usize,
) -> bool {
    let next = if progress.stage == SolverStage::Subset {
        run_subset_stage(progress.resume_at, solution, context, steps_left)
    } else {
        let next = run_sum_stage(progress, solution, context, steps_left);
        next.map(|backend| OrderKey { order_key: 0, backend })
    };
    progress.resume_at = next.unwrap_or_default();
    next.is_none()
}

/// Continues a stage that visits the backends in the order of their ids; returns the backend to resume at, or
/// `None` after the last one.
fn run_sum_stage(
    progress: &StageProgress, solution: &mut Solution, context: &mut SolverContext<'_>,
    steps_left: &mut usize,
) -> Option<BackendId> {
    let resume_at = progress.resume_at.backend;
    let SolverContext { now, config, .. } = *context;
    let kinds = &context.estimates.kinds;
    let backends = &mut context.backends.by_id;
    match progress.stage {
        SolverStage::Idle | SolverStage::Subset => None,
        SolverStage::Census => {
            visit_backends(backends, resume_at, steps_left, |b| count_backend(solution, b))
        }
        SolverStage::Readiness => {
            visit_backends(backends, resume_at, steps_left, |b| set_readiness(solution, config, now, b))
        }
        SolverStage::ZoneShares => visit_backends(backends, resume_at, steps_left, |backend| {
            if backend.plan.readiness > 0.0 {
                *solution.zone_shares.entry(backend.entry.zone).or_default() += fleet_share(kinds, backend);
            }
        }),
        SolverStage::TrafficShares => {
            let zones = ZoneBalance::new(config, &solution.zone_shares);
            visit_backends(backends, resume_at, steps_left, |backend| {
                let bias = zones.bias(solution.zone_shares.get(&backend.entry.zone), backend);
                let base_share = fleet_share(kinds, backend) * bias;
                set_traffic_share(solution, config, backend, bias, base_share);
            })
        }
    }
}

/// Continues the subset stage, which weights the backends of each kind by the overlap of their shares with
/// this proxy's subset; returns the backend to resume at, or `None` after the last one.
fn run_subset_stage(
    resume_at: OrderKey, solution: &mut Solution, context: &mut SolverContext<'_>, steps_left: &mut usize,
) -> Option<OrderKey> {
    let window = SubsetWindow::new(context.config, context.backends.by_id.len(), solution.reachable);
    let config = context.config;
    for key in context.backends.shared_order.range(resume_at..) {
        if *steps_left == 0 {
            return Some(*key);
        }
        *steps_left -= 1;
        let Some(backend) = context.backends.by_id.get(&key.backend) else { continue };
        let senders = context.warmup_budget().permitted_senders(backend);
        let Some(backend) = context.backends.by_id.get_mut(&key.backend) else { continue };
        let totals = solution.kinds.entry(backend.entry.kind).or_default();
        set_pick_weight(config, &window, totals, senders, backend);
        if backend.plan.readiness > 0.0 {
            add_candidate(solution, context.now, key.backend, backend);
        }
    }
    None
}

/// Visits backends from `resume_at` on while steps are left; returns the backend to resume at, or `None`
/// after the last one.
fn visit_backends(
    backends: &mut BTreeMap<BackendId, BackendHealth>, resume_at: BackendId, steps_left: &mut usize,
    mut visit: impl FnMut(&mut BackendHealth),
) -> Option<BackendId> {
    for (&id, backend) in backends.range_mut(resume_at..) {
        if *steps_left == 0 {
            return Some(id);
        }
        *steps_left -= 1;
        visit(backend);
    }
    None
}

fn count_backend(solution: &mut Solution, backend: &BackendHealth) {
    if !backend.is_listed() {
        return;
    }
    let census = &mut solution.census;
    census.listed += 1.0;
    census.ejected += f64::from(backend.ejection.until.is_some());
    if backend.error_rate > 0.0 {
        census.error_rates.push(backend.error_rate);
    }
}

fn set_readiness(solution: &mut Solution, config: &Config, now: Time, backend: &mut BackendHealth) {
    let panicking = solution.census.is_panicking();
    let ejection = &mut backend.ejection;
    ejection.on_probation = !panicking && ejection.until.is_some_and(|until| now >= until);
    let health = match backend.ejection.until {
        _ if !backend.is_listed() => 0.0,
        Some(_) if backend.ejection.on_probation => {
            // Backends are probed less often after each consecutive ejection that is not offset by a success
            // on probation: the probes of all proxies together would keep a backend that is only overloaded
            // from recovering.
            let failures =
                backend.ejection.consecutive_ejections - backend.ejection.probation_successes as i32;
            0.5f64.powi(failures.max(0))
        }
        Some(_) => f64::from(panicking),
        None => 1.0 - backend.error_rate,
    };
    backend.plan.readiness = health * slow_start_factor(config, now, &backend.entry);
    solution.kinds.entry(backend.entry.kind).or_default().readiness += backend.plan.readiness;
}

/// Returns a backend's share of the traffic of all proxies: its kind's share in proportion to its readiness.
fn fleet_share(kinds: &BTreeMap<KindId, KindStats>, backend: &BackendHealth) -> f64 {
    kinds
        .get(&backend.entry.kind)
        .map_or(0.0, |kind| kind.fleet_share * backend.plan.readiness / kind.readiness.max(MIN_SHARE))
}

/// The distribution of traffic over zones if crossing zones has a cost: traffic stays in its zone as far as
/// each backend still gets its share of all traffic. The proxies of each zone are assumed to receive equal
/// traffic; a zone whose backends get less than that sends its surplus to the zones whose backends get more.
struct ZoneBalance<'a> {
    config: &'a Config,
    zones: f64,
    /// Sum over zones of the traffic that their backends get beyond an even share, which other zones have to
    /// send; in units of an even share.
    total_deficit: f64,
    /// Share of the traffic of all proxies that the backends of this proxy's zone get.
    own_share: f64,
}

impl ZoneBalance<'_> {
    fn new<'a>(config: &'a Config, zone_shares: &BTreeMap<ZoneId, f64>) -> ZoneBalance<'a> {
        let zones = zone_shares.len() as f64;
        ZoneBalance {
            config,
            zones,
            total_deficit: zone_shares.values().map(|share| (share * zones - 1.0).max(0.0)).sum(),
            own_share: zone_shares.get(&config.zone).copied().unwrap_or(0.0),
        }
    }

    /// Returns the ratio of a backend's share of this proxy's traffic to its share of all traffic.
    fn bias(&self, zone_share: Option<&f64>, backend: &BackendHealth) -> f64 {
        let zone_share = zone_share.map_or(0.0, |share| share.max(MIN_SHARE));
        if self.config.goal.cross_zone_cost <= 0.0 || zone_share <= 0.0 {
            return 1.0;
        }
        let own = self.own_share * self.zones;
        let sent = if backend.entry.zone == self.config.zone {
            own.min(1.0)
        } else {
            let deficit = (zone_share * self.zones - 1.0).max(0.0);
            (1.0 - own).max(0.0) * deficit / self.total_deficit.max(MIN_SHARE)
        };
        sent / zone_share
    }
}

/// Sets a backend's share of this proxy's traffic and its limit of attempts in flight.
fn set_traffic_share(
    solution: &mut Solution, config: &Config, backend: &mut BackendHealth, bias: f64, base_share: f64,
) {
    let proxies = f64::from(config.proxy_count);
    // Half of the target of all proxies is distributed by the bias, half evenly. A fractional limit is
    // rounded up at the corresponding fraction of the proxies. Each proxy may have at least one attempt in
    // flight, as proxies would otherwise have to take turns where there are more of them than the target
    // allows; the overload check keeps the target.
    let rounding_slot = backend.entry.order_key.wrapping_add(u64::from(config.proxy_index));
    let rounding = ((rounding_slot % u64::from(config.proxy_count)) as f64 + 0.5) / proxies;
    let even = TARGET_IN_FLIGHT_PER_BACKEND / proxies * backend.plan.readiness;
    backend.plan.in_flight_limit = (even * (0.5 + 0.5 * bias) + rounding).floor().max(1.0);
    backend.plan.traffic_share = base_share + backend.plan.readiness * OVERFLOW_FACTOR;
    solution.reachable += f64::from(base_share > 0.0);
    solution.kinds.entry(backend.entry.kind).or_default().traffic_share += backend.plan.traffic_share;
}

/// Sets a backend's weight among the backends of its kind.
fn set_pick_weight(
    config: &Config, window: &SubsetWindow, totals: &mut KindTotals, senders: f64,
    backend: &mut BackendHealth,
) {
    let proxies = f64::from(config.proxy_count);
    let from = totals.visited_share / totals.traffic_share.max(MIN_SHARE);
    totals.visited_share += backend.plan.traffic_share;
    let to = totals.visited_share / totals.traffic_share.max(MIN_SHARE);
    let in_subset = if senders < proxies {
        // If only some proxies may send to a cold backend, they share it regardless of their subsets.
        let is_sender = subset_position(config, backend.entry.order_key) < senders;
        let share = f64::from(is_sender) * (to - from) / senders;
        share * window.width * proxies
    } else {
        window.overlap(from, to)
    };
    backend.plan.pick_weight = in_subset + backend.plan.traffic_share * OVERFLOW_FACTOR;
}

/// Adds a ready backend to the pick tables and counts the classes for which it is ejected.
fn add_candidate(solution: &mut Solution, now: Time, id: BackendId, backend: &BackendHealth) {
    solution.add_candidate(backend.entry.kind, id, backend.plan.pick_weight);
    for (class, health) in &backend.classes {
        if now < health.ejected_until {
            *solution.class_ejections.entry(*class).or_default() += 1.0;
        }
    }
}
