//! Retries: whether another attempt is safe, and the budget that limits the number of retries.

use crate::api::{Backend, BackendId, Class, Config, KeyScope, SideEffects, Time};
use crate::requests::{AttemptRecord, PendingRequest};

/// Retries and hedged attempts per request: twice the usual ratio of a tenth, as failures are detected late.
const RETRY_RATIO: f64 = 0.2;
/// Factor on the ratio while answers are being lost.
const LOSING_FACTOR: f64 = 2.0;
/// Number of requests whose contribution the budget can accumulate.
const BUDGET_REQUESTS: f64 = 100.0;

/// Limits retries and hedged attempts to a share of the requests.
#[derive(Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Adds the budget earned by a new request.
    pub(crate) fn refill(&mut self, is_losing: bool) {
        let ratio = RETRY_RATIO * if is_losing { LOSING_FACTOR } else { 1.0 };
        self.tokens = (self.tokens + ratio).min(ratio * BUDGET_REQUESTS);
    }

    /// Returns whether there is budget for another attempt.
    pub(crate) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the budget of one attempt.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Returns whether new requests can belong to an idempotent class.
pub(crate) fn has_idempotent_class(config: &Config) -> bool {
    config.classes.iter().any(Class::is_idempotent)
}

/// Returns whether the class and the earlier attempts of the request allow another attempt now.
pub(crate) fn may_attempt(config: &Config, now: Time, request: &PendingRequest) -> bool {
    let may_be_concurrent = request.allow_hedging || !request.has_attempt_in_flight();
    may_be_concurrent && may_repeat(config, now, request)
}

/// Returns whether the class and the earlier attempts of the request allow another attempt once none is in
/// flight.
pub(crate) fn may_repeat(config: &Config, now: Time, request: &PendingRequest) -> bool {
    let is_repeatable = |attempt: &AttemptRecord| match config.classes[request.class].side_effects {
        SideEffects::None => true,
        SideEffects::IdempotencyKey { window, .. } => {
            attempt.never_ran || now + config.tick < attempt.sent_at + window
        }
        SideEffects::NonIdempotent => attempt.never_ran,
    };
    request.attempts.len() < request.max_attempts && request.attempts.iter().all(is_repeatable)
}

/// Returns whether the request had an attempt on this backend.
pub(crate) fn has_tried(request: &PendingRequest, backend: BackendId) -> bool {
    request.attempts.iter().any(|attempt| attempt.backend.id == backend)
}

/// Returns whether the request may be repeated on this backend: it shares idempotency keys with the backends
/// of all attempts that may have run. A repeat outside the scope of the key would run twice.
pub(crate) fn may_repeat_on(config: &Config, request: &PendingRequest, backend: &Backend) -> bool {
    let knows_key = |attempt: &AttemptRecord| match config.classes[request.class].side_effects {
        SideEffects::IdempotencyKey { scope: KeyScope::Zone, .. } => {
            attempt.never_ran || attempt.backend.zone == backend.zone
        }
        SideEffects::IdempotencyKey { scope: KeyScope::Cell, .. } => {
            attempt.never_ran || attempt.backend.cell == backend.cell
        }
        _ => true,
    };
    request.attempts.iter().all(knows_key)
}

/// Returns whether the client may safely send the request again: it never ran, has no side effects, or would
/// be discarded as a duplicate by all backends.
pub(crate) fn is_safe_for_client_retry(config: &Config, request: &PendingRequest) -> bool {
    let is_repeatable_anywhere = matches!(
        config.classes[request.class].side_effects,
        SideEffects::None | SideEffects::IdempotencyKey { scope: KeyScope::All, .. }
    );
    is_repeatable_anywhere || request.never_ran()
}
