//! Admission: which requests are admitted, queued or rejected.

mod overload;
mod queue;
mod quota;

pub(crate) use overload::{LOAD_MEMORY_S, TARGET_IN_FLIGHT_PER_BACKEND};
pub(crate) use queue::QueuedRequest;

use crate::api::{Arrival, Config, Micros, ReassignedIds, Time};
use crate::estimates::Estimates;
use crate::requests::PendingRequest;
use overload::OverloadDetector;
use queue::RequestQueue;
use quota::TenantQuotas;

/// Seconds without a sent attempt after which one request is sent regardless of the load: the recorded load
/// may be outdated, and a proxy that sends nothing would not notice that the load has fallen.
const PROBE_INTERVAL_S: f64 = 3.0;

/// Admits requests.
pub(crate) struct Admission {
    pub queue: RequestQueue,
    pub overload: OverloadDetector,
    quotas: TenantQuotas,
    /// When the last attempt was sent or, before any, the first request was admitted.
    last_sent_at: Option<Time>,
}

impl Admission {
    pub(crate) fn new(config: &Config) -> Admission {
        Admission {
            queue: RequestQueue::default(),
            overload: OverloadDetector::new(),
            quotas: TenantQuotas::new(config.tenants.len()),
            last_sent_at: None,
        }
    }

    /// Applies a new configuration to the quotas.
    pub(crate) fn reconfigure(&mut self, config: &Config, reassigned: &ReassignedIds) {
        self.quotas.reconfigure(config.tenants.len(), &reassigned.tenants);
    }

    /// Creates the pending request of an arrival. Its class must exist in the configuration.
    pub(crate) fn admit(&mut self, now: Time, config: &Config, arrival: &Arrival) -> PendingRequest {
        self.last_sent_at.get_or_insert(now);
        let class = &config.classes[arrival.class.0];
        let exceeds_quota = arrival.tenant.is_some_and(|tenant| self.quotas.exceeds(now, config, tenant));
        let hint = arrival.work_hint.unwrap_or_default();
        let extension = hint.times(class.objective_per_work_hint);
        let objective = Micros(class.latency_objective.0 + extension.0);
        // The client of a retry has already waited for its first request, so that most of the value is lost.
        // Serving it before a new request would make both late for as long as a retry storm lasts.
        let retry_factor = if arrival.is_client_retry { class.late_value_factor } else { 1.0 };
        let quota_factor = if exceeds_quota { config.over_quota_factor } else { 1.0 };
        PendingRequest {
            class: arrival.class.0,
            arrived_at: now,
            objective_at: now + objective.min(arrival.time_left),
            deadline: now + arrival.time_left,
            priority: retry_factor * quota_factor,
            max_attempts: config.attempts.max_attempts as usize,
            allow_hedging: config.attempts.allow_hedging,
            uploading: arrival.body_incomplete,
            streaming: false,
            has_replaced_attempt: false,
            attempts: Vec::new(),
        }
    }

    /// Records that an attempt was sent.
    pub(crate) fn record_sent(&mut self, now: Time) {
        self.last_sent_at = Some(now);
    }

    /// Returns whether to reject the first attempt of the request because the fleet has too much in flight.
    pub(crate) fn sheds(
        &self, now: Time, config: &Config, estimates: &Estimates, request: &PendingRequest,
    ) -> bool {
        let probe_due = |last_sent_at: Time| now >= last_sent_at + Micros::from_secs(PROBE_INTERVAL_S);
        if self.last_sent_at.is_some_and(probe_due) {
            return false;
        }
        let readiness: f64 = estimates.kinds.values().map(|kind| kind.readiness).sum();
        self.overload.is_overloaded(config, readiness, request.is_low_priority())
    }
}
