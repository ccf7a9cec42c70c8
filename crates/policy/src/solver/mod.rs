//! The solver computes the traffic share of each kind and backend from the arrival rate, service times and
//! health. It works incrementally: each event runs some steps, so that no event visits all backends of a
//! large fleet.

mod context;
mod shares;
mod solution;
mod stages;

use crate::api::{Micros, Time};
use crate::backend_table::SMALL_FLEET;
use crate::estimators::RateEstimator;
pub(crate) use context::SolverContext;
use shares::solve_kind_shares;
use solution::{Solution, MAX_EJECTED_SHARE};
use stages::{run_stage, SolverStage, StageProgress};

/// Minimum interval between the starts of two solutions, in seconds; much shorter than the time constant of
/// the arrival rate.
const SOLVE_INTERVAL_S: f64 = 0.1;
/// Minimum number of arrivals between the starts of two solutions: a rate estimated from fewer is mostly
/// noise.
const MIN_ARRIVALS_PER_SOLUTION: f64 = 5.0;
/// Time constant of the arrival rate, in seconds; short compared with a ramp or a failure.
const RATE_MEMORY_S: f64 = 2.0;
/// Minimum number of steps per event in a larger fleet, some 20 us. A step is one backend in one stage.
const MIN_STEPS_PER_EVENT: usize = 128;
/// Maximum number of stages of a solution.
const STAGES: f64 = 5.0;

/// Computes the traffic shares step by step.
pub(crate) struct IncrementalSolver {
    progress: StageProgress,
    solution: Solution,
    /// When the next solution begins.
    pub next_solve_at: Time,
    /// Requests per second that arrive at this proxy.
    pub arrival_rate: RateEstimator,
    /// Median error rate of the backends. Errors common to all backends are not attributed to any of them.
    pub common_error_rate: f64,
}

impl IncrementalSolver {
    pub(crate) fn new() -> IncrementalSolver {
        IncrementalSolver {
            progress: StageProgress::default(),
            solution: Solution::default(),
            next_solve_at: Time(0),
            arrival_rate: RateEstimator::new(RATE_MEMORY_S),
            common_error_rate: 0.0,
        }
    }

    /// Returns whether a solution is in progress.
    pub(crate) fn is_running(&self) -> bool {
        self.progress.stage != SolverStage::Idle
    }

    /// Continues the solution in progress, or starts one if there is none; returns whether it was completed.
    /// `idle_s` is the time since the last event, in seconds.
    pub(crate) fn advance(&mut self, context: &mut SolverContext<'_>, idle_s: f64) -> bool {
        if !self.is_running() {
            self.begin(context.now);
        }
        let mut steps_left = steps_for_event(context, idle_s);
        while self.is_running() {
            if !run_stage(&mut self.progress, &mut self.solution, context, &mut steps_left) {
                return false;
            }
            self.finish_stage(context);
        }
        true
    }

    fn begin(&mut self, now: Time) {
        let default_rate = MIN_ARRIVALS_PER_SOLUTION / SOLVE_INTERVAL_S;
        let rate = self.arrival_rate.per_s().unwrap_or(default_rate).max(1.0);
        let min_interval_s = MIN_ARRIVALS_PER_SOLUTION / rate;
        self.next_solve_at = now + Micros::from_secs(SOLVE_INTERVAL_S.max(min_interval_s));
        self.solution.restart();
        self.progress.stage = SolverStage::Census;
    }

    /// Finishes the current stage, which has visited all backends, and selects the next one.
    fn finish_stage(&mut self, context: &mut SolverContext<'_>) {
        self.progress.stage = match self.progress.stage {
            SolverStage::Census => {
                self.common_error_rate = self.solution.census.median_error_rate();
                SolverStage::Readiness
            }
            SolverStage::Readiness => {
                solve_kind_shares(context, &self.solution, &mut self.arrival_rate);
                if context.config.goal.cross_zone_cost > 0.0 {
                    SolverStage::ZoneShares
                } else {
                    SolverStage::TrafficShares
                }
            }
            SolverStage::ZoneShares => SolverStage::TrafficShares,
            SolverStage::TrafficShares => SolverStage::Subset,
            SolverStage::Subset | SolverStage::Idle => {
                self.publish(context);
                SolverStage::Idle
            }
        };
    }

    /// Publishes the completed solution to the estimates and the picker.
    fn publish(&mut self, context: &mut SolverContext<'_>) {
        let solution = &mut self.solution;
        for (id, kind) in &mut context.estimates.kinds {
            kind.traffic_share = solution.kinds.get(id).map_or(0.0, |totals| totals.traffic_share);
        }
        solution.tables.drop_empty();
        std::mem::swap(context.tables, &mut solution.tables);
        let ready = context.tables.len();
        for (class, stats) in context.estimates.classes.iter_mut().enumerate() {
            let ejected = solution.class_ejections.get(&class);
            stats.is_ejected_by_most = ejected.is_some_and(|n| *n > ready as f64 * MAX_EJECTED_SHARE);
        }
    }
}

/// Returns the number of steps that the event may run. The solution of a small fleet, and the first one of
/// any fleet, is completed at once. Otherwise the steps grow with the time since the last event, so that the
/// solution is complete before the next one is due.
fn steps_for_event(context: &SolverContext<'_>, idle_s: f64) -> usize {
    let backends = context.backends.by_id.len();
    if context.tables.is_empty() || backends <= SMALL_FLEET {
        return usize::MAX;
    }
    let steps_due = STAGES * backends as f64 * idle_s / SOLVE_INTERVAL_S;
    MIN_STEPS_PER_EVENT.max(steps_due as usize)
}
