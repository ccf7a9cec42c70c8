//! The solver turns arrival rate, service times and health into the traffic share of each kind and backend.
//! It works incrementally: each event takes it some steps on, so that no event walks over a large fleet.

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

/// Solutions begin this often, in seconds: far faster than the memory of the arrival rate.
const SOLVE_INTERVAL_S: f64 = 0.1;
/// ... but not before so many requests have arrived: fewer are chance alone.
const MIN_ARRIVALS_PER_SOLUTION: f64 = 5.0;
/// Memory of the arrival rate, in seconds: short beside a ramp or a failure.
const RATE_MEMORY_S: f64 = 2.0;
/// Steps of a solution that an event takes in a larger fleet, one backend in one stage: some 20 us.
const MIN_STEPS_PER_EVENT: usize = 128;
/// Stages of a solution at most.
const STAGES: f64 = 5.0;

/// Solves the traffic shares step by step.
pub(crate) struct IncrementalSolver {
    progress: StageProgress,
    solution: Solution,
    /// When the next solution begins.
    pub next_solve_at: Time,
    /// Requests a second that arrive at this proxy.
    pub arrival_rate: RateEstimator,
    /// The median error rate of the backends: what is common to all is the fault of none.
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

    /// A solution is in progress.
    pub(crate) fn is_running(&self) -> bool {
        self.progress.stage != SolverStage::Idle
    }

    /// Takes the solution on, and begins one where none is in progress. `idle_s` is the time since the last
    /// event, in seconds. Returns whether a solution became complete.
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

    /// Concludes the stage that has passed all backends.
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

    /// From now on picks go by this solution.
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

/// The solution of a small fleet is complete at once, and the first one of any. Else, where events are few
/// each takes more steps, so that the solution is complete before the next one is due.
fn steps_for_event(context: &SolverContext<'_>, idle_s: f64) -> usize {
    let backends = context.backends.by_id.len();
    if context.tables.is_empty() || backends <= SMALL_FLEET {
        return usize::MAX;
    }
    let steps_missed = STAGES * backends as f64 * idle_s / SOLVE_INTERVAL_S;
    MIN_STEPS_PER_EVENT.max(steps_missed as usize)
}
