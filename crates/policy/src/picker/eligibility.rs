//! Whether a backend may be sent a request now.

use crate::api::Config;
use crate::backend_health::{BackendHealth, ClassHealth};
use crate::requests::PendingRequest;
use crate::retry;
use crate::slow_start::WarmupBudget;

/// Number of old attempts without any later answer that mark a backend as silent: a single one may be one
/// lost answer.
const SILENT_ATTEMPTS: u32 = 2;

/// The conditions that decide whether a backend is eligible for a request.
pub(crate) struct Eligibility<'a> {
    pub request: &'a PendingRequest,
    /// Work of the request, in requests of mean work.
    pub work: f64,
    /// Whether backends that are ejected for the class are excluded.
    pub respects_class_ejections: bool,
    /// Whether some class is idempotent; then only idempotent requests probe backends on probation.
    pub any_idempotent: bool,
    /// Whether backends that already had an attempt of the request are eligible.
    pub may_reuse_backends: bool,
    pub warmup: WarmupBudget<'a>,
}

impl Eligibility<'_> {
    /// Returns whether the backend is eligible for the request and has capacity for it.
    pub(crate) fn allows(&self, backend: &BackendHealth) -> bool {
        self.has_capacity(backend) && self.is_eligible(backend)
    }

    /// Returns whether the backend is below its limit of attempts in flight; exceeding it would slow the
    /// backend for a long time. Requests of low priority may use half of the limit.
    fn has_capacity(&self, backend: &BackendHealth) -> bool {
        let limit = backend.plan.in_flight_limit;
        let limit = if self.request.is_low_priority() { (limit / 2.0).ceil() } else { limit };
        let not_counted = backend.load.lost + backend.load.uploading;
        backend.plan.readiness > 0.0 && f64::from(backend.load.in_flight.saturating_sub(not_counted)) < limit
    }

    /// Returns whether the backend may serve the request, apart from its limit of attempts in flight.
    fn is_eligible(&self, backend: &BackendHealth) -> bool {
        backend.is_listed()
            && (!backend.ejection.on_probation || self.may_probe(backend))
            && !self.is_excluded(backend)
            && (self.may_reuse_backends || !retry::has_tried(self.request, backend.entry.id))
            && retry::may_repeat_on(self.config(), self.request, &backend.entry)
            && self.warmup.warmup_budget(backend) >= self.work
    }

    /// Returns whether the request may probe the backend, which gets one request at a time while on
    /// probation. A probe is a first attempt, and idempotent if any class is, so that it may fail without
    /// harm.
    fn may_probe(&self, backend: &BackendHealth) -> bool {
        backend.load.in_flight == 0
            && self.request.attempts.is_empty()
            && (self.config().classes[self.request.class].is_idempotent() || !self.any_idempotent)
    }

    /// Returns whether the backend is silent, full, or ejected for the class.
    fn is_excluded(&self, backend: &BackendHealth) -> bool {
        let is_excluded_for_class = |class: &ClassHealth| {
            class.silent_attempts >= SILENT_ATTEMPTS
                || self.warmup.now < class.full_until
                || self.respects_class_ejections && self.warmup.now < class.ejected_until
        };
        backend.silent_attempts >= SILENT_ATTEMPTS
            || backend.classes.get(&self.request.class).is_some_and(is_excluded_for_class)
    }

    fn config(&self) -> &Config {
        self.warmup.config
    }
}
