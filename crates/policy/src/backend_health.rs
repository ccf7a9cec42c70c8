//! What is known of one backend. Plain records; the modules that decide write them.

use crate::api::{Backend, BackendState, Time};
use crate::sent_work::SentWorkLog;
use std::collections::BTreeMap;

/// What the solver plans for a backend.
#[derive(Default)]
pub(crate) struct TrafficPlan {
    /// From 0 (send nothing) to 1 (healthy and warmed up).
    pub readiness: f64,
    /// Its share of this proxy's traffic.
    pub traffic_share: f64,
    /// Its weight among the backends of its kind: the overlap with this proxy's subset, and a trace outside
    /// it, as a last resort.
    pub pick_weight: f64,
    /// How many attempts of this proxy it may have in flight.
    pub in_flight_limit: f64,
}

/// This proxy's attempts in flight on a backend.
#[derive(Default)]
pub(crate) struct BackendLoad {
    pub in_flight: u32,
    /// How many of these wait for the rest of a request body: they are no work yet.
    pub uploading: u32,
    /// How many of these are older than the loss timeout: they take no capacity any more.
    pub lost: u32,
}

/// Whether a backend is ejected for all classes.
#[derive(Default)]
pub(crate) struct Ejection {
    /// Ejected, until this time at least.
    pub until: Option<Time>,
    /// The term is over; successes have to show that the backend is healthy.
    pub on_probation: bool,
    /// Ejections without a success while not ejected between them.
    pub consecutive_ejections: i32,
    /// Successes since the ejection.
    pub probation_successes: u32,
}

/// What is known of a backend for one class: it may fail at one class and serve the others.
#[derive(Default)]
pub(crate) struct ClassHealth {
    /// Moving share of error answers.
    pub error_rate: f64,
    /// When it last answered a request of the class.
    pub answered_at: Time,
    /// Attempts that are old enough to mark silence, with no answer to one of the class since they were sent.
    pub silent_attempts: u32,
    /// It rejected one, and gets none until then.
    pub full_until: Time,
    /// Rejections since it last served one.
    pub consecutive_rejections: u32,
    /// It is ejected for the class until then.
    pub ejected_until: Time,
    /// Ejections for the class since it last served one.
    pub consecutive_ejections: u32,
}

/// What is known of a backend.
#[derive(Default)]
pub(crate) struct BackendHealth {
    /// Its entry of the endpoint list.
    pub entry: Backend,
    /// Operators have taken it out of service.
    pub cordoned: bool,
    pub plan: TrafficPlan,
    pub load: BackendLoad,
    /// Moving share of error answers.
    pub error_rate: f64,
    /// When it last answered anything.
    pub answered_at: Time,
    /// Attempts that are old enough to mark silence, with no answer to anything since they were sent.
    pub silent_attempts: u32,
    pub ejection: Ejection,
    pub sent_work: SentWorkLog,
    /// By class, as far as it got requests of it.
    pub classes: BTreeMap<usize, ClassHealth>,
}

impl BackendHealth {
    /// The endpoint list and the operators let it be sent requests.
    pub(crate) fn is_listed(&self) -> bool {
        self.entry.state == BackendState::Ready && !self.cordoned
    }

    /// Another process runs at the address: all is forgotten but what is in flight there and what was sent
    /// lately.
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

    /// What is known of it for one class.
    pub(crate) fn class_mut(&mut self, class: usize) -> &mut ClassHealth {
        self.classes.entry(class).or_default()
    }
}
