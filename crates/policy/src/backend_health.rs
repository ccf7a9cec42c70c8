//! The state of one backend: plain records that other modules update.

use crate::api::{Backend, BackendState, Time};
use crate::sent_work::SentWorkLog;
use std::collections::BTreeMap;

/// The traffic of a backend as planned by the solver.
#[derive(Default)]
pub(crate) struct TrafficPlan {
    /// From 0 (receives no requests) to 1 (healthy and warmed up).
    pub readiness: f64,
    /// Share of this proxy's traffic.
    pub traffic_share: f64,
    /// Weight among the backends of its kind: the overlap with this proxy's subset, plus a tiny weight as a
    /// last resort outside it.
    pub pick_weight: f64,
    /// Maximum number of attempts of this proxy in flight.
    pub in_flight_limit: f64,
}

/// This proxy's attempts in flight on a backend.
#[derive(Default)]
pub(crate) struct BackendLoad {
    pub in_flight: u32,
    /// Number of these whose request body is still arriving; they cause no work for the backend yet.
    pub uploading: u32,
    /// Number of these that are older than the loss timeout and no longer count against the limit.
    pub lost: u32,
}

/// The ejection of a backend for all classes.
#[derive(Default)]
pub(crate) struct Ejection {
    /// Earliest end of the ejection; `None` while neither ejected nor on probation.
    pub until: Option<Time>,
    /// Whether the term of the ejection is over and probes decide whether the backend is healthy.
    pub on_probation: bool,
    /// Ejections since the last success outside an ejection.
    pub consecutive_ejections: i32,
    /// Successes since the last ejection.
    pub probation_successes: u32,
}

/// The health of a backend for one class: it may fail for one class and serve the others.
#[derive(Default)]
pub(crate) struct ClassHealth {
    /// Moving share of failed attempts.
    pub error_rate: f64,
    /// When the backend last answered a request of the class.
    pub answered_at: Time,
    /// Attempts old enough to count as silent, without an answer to any request of the class since they were
    /// sent.
    pub silent_attempts: u32,
    /// End of the pause without requests of the class that follows a rejection.
    pub full_until: Time,
    /// Rejections since the last success for the class.
    pub consecutive_rejections: u32,
    /// End of the ejection for the class.
    pub ejected_until: Time,
    /// Ejections for the class since the last success for it.
    pub consecutive_ejections: u32,
}

/// The state of a backend.
#[derive(Default)]
pub(crate) struct BackendHealth {
    /// Its entry in the endpoint list.
    pub entry: Backend,
    /// Whether operators have cordoned the backend.
    pub cordoned: bool,
    pub plan: TrafficPlan,
    pub load: BackendLoad,
    /// Moving share of failed attempts.
    pub error_rate: f64,
    /// When the backend last answered any request.
    pub answered_at: Time,
    /// Attempts old enough to count as silent, without an answer to any request since they were sent.
    pub silent_attempts: u32,
    pub ejection: Ejection,
    pub sent_work: SentWorkLog,
    /// Health by class, for the classes of requests it received.
    pub classes: BTreeMap<usize, ClassHealth>,
}

impl BackendHealth {
    /// Returns whether the endpoint list and the operators allow requests to be sent to the backend.
    pub(crate) fn is_listed(&self) -> bool {
        self.entry.state == BackendState::Ready && !self.cordoned
    }

    /// Resets the state when another process runs at the address. Only the entry, the cordon, the attempts in
    /// flight and the recently sent work are kept.
    pub(crate) fn reset_for_new_process(&mut self) {
        let previous = std::mem::take(self);
        *self = BackendHealth {
            entry: previous.entry,
            cordoned: previous.cordoned,
            load: BackendLoad { lost: 0, ..previous.load },
            sent_work: previous.sent_work,
            ..BackendHealth::default()
        };
    }

    /// Returns the health for one class, which is created if absent.
    pub(crate) fn class_mut(&mut self, class: usize) -> &mut ClassHealth {
        self.classes.entry(class).or_default()
    }
}
