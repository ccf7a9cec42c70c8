//! The inputs and outputs of a solution.

use crate::api::{Config, Time};
use crate::backend_table::BackendTable;
use crate::estimates::Estimates;
use crate::picker::PickTables;
use crate::slow_start::{SlowStart, WarmupBudget};

/// The inputs of a solution, and the state it is written to.
pub(crate) struct SolverContext<'a> {
    pub now: Time,
    pub config: &'a Config,
    pub slow_start: &'a SlowStart,
    pub backends: &'a mut BackendTable,
    pub estimates: &'a mut Estimates,
    /// The tables of the last complete solution.
    pub tables: &'a mut PickTables,
}

impl SolverContext<'_> {
    pub(super) fn warmup_budget(&self) -> WarmupBudget<'_> {
        WarmupBudget {
            now: self.now,
            config: self.config,
            kinds: &self.estimates.kinds,
            slow_start: self.slow_start,
        }
    }
}
