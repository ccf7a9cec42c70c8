//! Retries: whether another attempt may do harm, and the budget that bounds how many there are.

use crate::api::{Backend, BackendId, Class, Config, KeyScope, SideEffects, Time};
use crate::requests::{AttemptRecord, PendingRequest};

/// Retries and hedged attempts for each request: twice the usual tenth, as failures are seen late.
const RETRY_RATIO: f64 = 0.2;
/// The ratio grows by this factor while answers are being lost.
const LOSING_FACTOR: f64 = 2.0;
/// Requests whose share of the budget it may accumulate.
const BUDGET_REQUESTS: f64 = 100.0;

/// Bounds retries and hedged attempts to a share of the requests.
#[derive(Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A request came.
    pub(crate) fn refill(&mut self, is_losing: bool) {
        let ratio = RETRY_RATIO * if is_losing { LOSING_FACTOR } else { 1.0 };
        self.tokens = (self.tokens + ratio).min(ratio * BUDGET_REQUESTS);
    }

    /// There is budget for another attempt.
    pub(crate) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Another attempt was sent.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// New requests may be of a class that may be repeated at will.
pub(crate) fn has_idempotent_class(config: &Config) -> bool {
    config.classes.iter().any(Class::is_idempotent)
}

/// The request may have another attempt: the attempts it had allow it, and its class.
pub(crate) fn may_attempt(config: &Config, now: Time, request: &PendingRequest) -> bool {
    let is_repeatable = |attempt: &AttemptRecord| match config.classes[request.class].side_effects {
        SideEffects::None => true,
        SideEffects::IdempotencyKey { window, .. } => {
            attempt.never_ran || now + config.tick < attempt.sent_at + window
        }
        SideEffects::NonIdempotent => attempt.never_ran,
    };
    let may_be_concurrent = request.allow_hedging || !request.has_attempt_in_flight();
    may_be_concurrent
        && request.attempts.len() < request.max_attempts
        && request.attempts.iter().all(is_repeatable)
}

/// The request had an attempt on this backend.
pub(crate) fn has_tried(request: &PendingRequest, backend: BackendId) -> bool {
    request.attempts.iter().any(|attempt| attempt.backend.id == backend)
}

/// The request may go to this backend: where an attempt may have run elsewhere, the backend knows its key. A
/// repeat outside the scope that knows the key would run twice.
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

/// The client may safely send the request again: it never ran, or all backends would discard a repeat.
pub(crate) fn is_safe_for_client_retry(config: &Config, request: &PendingRequest) -> bool {
    let is_repeatable_anywhere = matches!(
        config.classes[request.class].side_effects,
        SideEffects::None | SideEffects::IdempotencyKey { scope: KeyScope::All, .. }
    );
    is_repeatable_anywhere || request.never_ran()
}
