//! Whether a backend may get one request now.

use crate::api::Config;
use crate::backend_health::{BackendHealth, ClassHealth};
use crate::requests::PendingRequest;
use crate::retry;
use crate::slow_start::WarmupBudget;

/// Suspiciously old attempts with nothing heard since that mark a backend as silent: one may be an answer
/// that never comes.
const SILENT_ATTEMPTS: u32 = 2;

/// What makes a backend eligible for one request.
pub(crate) struct Eligibility<'a> {
    pub request: &'a PendingRequest,
    /// The work of the request, in requests of mean work.
    pub work: f64,
    /// Backends that are ejected for the class get none of it.
    pub respects_class_ejections: bool,
    /// Some class is idempotent: only such requests probe backends on probation.
    pub any_idempotent: bool,
    /// The request may go to a backend again that had an attempt of it.
    pub may_return: bool,
    pub warmup: WarmupBudget<'a>,
}

impl Eligibility<'_> {
    /// The request may be sent there: the backend is up to it and has capacity for it.
    pub(crate) fn allows(&self, backend: &BackendHealth) -> bool {
        self.has_capacity(backend) && self.is_eligible(backend)
    }

    /// The backend is not at its limit, which would slow it for long.
    fn has_capacity(&self, backend: &BackendHealth) -> bool {
        let limit = backend.plan.in_flight_limit;
        let limit = if self.request.is_low_priority() { (limit / 2.0).ceil() } else { limit };
        let idle = backend.load.lost + backend.load.uploading;
        backend.plan.readiness > 0.0 && f64::from(backend.load.in_flight.saturating_sub(idle)) < limit
    }

    /// The backend is up to the request.
    fn is_eligible(&self, backend: &BackendHealth) -> bool {
        backend.is_listed()
            && (!backend.ejection.on_probation || self.may_probe(backend))
            && !self.is_barred(backend)
            && (self.may_return || !retry::has_tried(self.request, backend.entry.id))
            && retry::may_repeat_on(self.config(), self.request, &backend.entry)
            && self.warmup.warmup_budget(backend) >= self.work
    }

    /// On probation, a backend gets one request at a time, which may fail without harm.
    fn may_probe(&self, backend: &BackendHealth) -> bool {
        backend.load.in_flight == 0
            && self.request.attempts.is_empty()
            && (self.config().classes[self.request.class].is_idempotent() || !self.any_idempotent)
    }

    /// The backend is silent, full, or ejected for the class.
    fn is_barred(&self, backend: &BackendHealth) -> bool {
        let is_class_barred = |class: &ClassHealth| {
            class.silent_attempts >= SILENT_ATTEMPTS
                || self.warmup.now < class.full_until
                || self.respects_class_ejections && self.warmup.now < class.ejected_until
        };
        backend.silent_attempts >= SILENT_ATTEMPTS
            || backend.classes.get(&self.request.class).is_some_and(is_class_barred)
    }

    fn config(&self) -> &Config {
        self.warmup.config
    }
}
