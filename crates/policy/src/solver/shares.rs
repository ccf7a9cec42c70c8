//! The traffic share of each kind of machine.

use super::context::SolverContext;
use super::solution::Solution;
use crate::estimators::RateEstimator;
use crate::halb::halb_shares;

/// Computes the service rate and traffic share of every kind from the total readiness of its backends.
pub(super) fn solve_kind_shares(
    context: &mut SolverContext<'_>, solution: &Solution, arrival_rate: &mut RateEstimator,
) {
    let kinds = &mut context.estimates.kinds;
    for id in solution.kinds.keys() {
        kinds.entry(*id).or_default();
    }
    for (id, kind) in kinds.iter_mut() {
        kind.readiness = solution.kinds.get(id).map_or(0.0, |totals| totals.readiness);
    }
    arrival_rate.add(context.now, 0.0);
    let proxies = f64::from(context.config.proxy_count);
    let processes = context.slow_start.processes_per_proxy(context.now);
    let fleet_rate = arrival_rate.per_s().map(|rate| rate * proxies * processes);
    let measured_kinds = update_service_rates(context);
    let kinds = &mut context.estimates.kinds;
    let table: Vec<(f64, f64)> = kinds.values().map(|kind| (kind.readiness, kind.service_rate)).collect();
    let shares = halb_shares(&table, fleet_rate.filter(|_| measured_kinds > 0.0));
    for (kind, share) in kinds.values_mut().zip(shares) {
        kind.fleet_share = share;
        kind.planned_rate =
            if kind.readiness > 0.0 { fleet_rate.unwrap_or(0.0) * share / kind.readiness } else { 0.0 };
    }
}

/// Sets the service rate of every kind; returns how many kinds have been measured.
fn update_service_rates(context: &mut SolverContext<'_>) -> f64 {
    let kinds = &mut context.estimates.kinds;
    let mut sum = 0.0;
    let mut measured_kinds = 0.0;
    for kind in kinds.values_mut() {
        let measured = kind.latency.get().map(|latency_s| 1.0 / latency_s + kind.measured_rate.value);
        kind.service_rate = measured.unwrap_or(0.0);
        if kind.service_rate > 0.0 {
            sum += kind.service_rate;
            measured_kinds += 1.0;
        }
    }
    // Kinds that were not measured are assumed to be as fast as the mean of the others.
    let mean = if measured_kinds > 0.0 { sum / measured_kinds } else { 1.0 };
    for kind in kinds.values_mut() {
        let service_rate = if kind.service_rate > 0.0 { kind.service_rate } else { mean };
        // The attempts of an overloaded kind time out, so that its latency is not measured. Without this
        // factor the kind would keep the service rate from before the overload.
        kind.service_rate = service_rate * kind.answered_share.value;
    }
    measured_kinds
}
