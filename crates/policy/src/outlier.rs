//! Outlier ejection: a failing backend is ejected for a term, for one class or for all, and is on probation
//! after an ejection for all.

use crate::api::{Micros, Outcome, Time};
use crate::backend_health::{BackendHealth, ClassHealth};

/// Error rate above which a backend is ejected; four consecutive errors exceed it. A few percent of invalid
/// answers and broken connections come from any backend, so that two errors may be chance.
const MAX_ERROR_RATE: f64 = 0.3;
/// Weight of the newest outcome in an error rate.
const ERROR_WEIGHT: f64 = 0.1;
/// First term of an ejection, in seconds; it doubles with each consecutive ejection, at most twice.
pub(crate) const EJECTION_TERM_S: f64 = 1.0;
/// Maximum number of doublings of the ejection term.
const MAX_TERM_DOUBLINGS: u32 = 2;
/// Maximum number of doublings of the pause after a rejection.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Number of successes on probation that end an ejection.
const PROBATION_SUCCESSES: u32 = 3;

/// The consequence of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureVerdict {
    /// The backend stays in use.
    Tolerate,
    /// The backend fails for the class: it is ejected for that class and serves the others.
    EjectForClass,
    /// The backend is ejected for all classes.
    Eject,
}

/// An attempt that failed.
pub(crate) struct FailedAttempt {
    pub class: usize,
    pub sent_at: Time,
    pub outcome: Outcome,
}

/// Records that the backend served a request of the class; returns whether that ends its ejection.
pub(crate) fn record_success(backend: &mut BackendHealth, class: usize, now: Time) -> bool {
    backend.answered_at = now;
    backend.error_rate *= 1.0 - ERROR_WEIGHT;
    let health = backend.class_mut(class);
    health.answered_at = now;
    health.error_rate *= 1.0 - ERROR_WEIGHT;
    health.consecutive_rejections = 0;
    health.consecutive_ejections = 0;
    let ejection = &mut backend.ejection;
    ejection.probation_successes += 1;
    if ejection.until.is_none() {
        ejection.consecutive_ejections = 0;
        return false;
    }
    if ejection.probation_successes < PROBATION_SUCCESSES {
        return false;
    }
    ejection.until = None;
    ejection.on_probation = false;
    backend.error_rate = 0.0;
    backend.classes.clear();
    true
}

/// Records a rejection. A full backend gets no requests of the class until it has probably finished one; the
/// pause doubles with each consecutive rejection, up to half of the first ejection term. Being full does not
/// count as a failure, and may concern one class only.
pub(crate) fn record_rejection(backend: &mut BackendHealth, class: usize, now: Time, usual_latency: Micros) {
    let health = backend.class_mut(class);
    let doublings = f64::from(health.consecutive_rejections.min(MAX_PAUSE_DOUBLINGS));
    let pause_s = usual_latency.times(doublings.exp2()).secs().min(EJECTION_TERM_S / 2.0);
    health.full_until = now + Micros::from_secs(pause_s);
    health.consecutive_rejections += 1;
}

/// Records a failure and decides whether to eject the backend. `common_error_rate` is the median of all
/// backends, which raises the threshold: errors common to all backends are not attributed to this one.
pub(crate) fn record_failure(
    backend: &mut BackendHealth, now: Time, attempt: &FailedAttempt, common_error_rate: f64,
) -> FailureVerdict {
    if attempt.outcome == Outcome::TimedOut {
        // The backend answered other requests of the class meanwhile, so this one may just be heavy.
        if backend.class_mut(attempt.class).answered_at >= attempt.sent_at {
            return FailureVerdict::Tolerate;
        }
        if backend.answered_at < attempt.sent_at {
            return FailureVerdict::Eject;
        }
    }
    raise_error_rate(&mut backend.error_rate);
    raise_error_rate(&mut backend.class_mut(attempt.class).error_rate);
    if attempt.outcome == Outcome::Error {
        backend.answered_at = now;
        backend.class_mut(attempt.class).answered_at = now;
    }
    let max_error_rate = MAX_ERROR_RATE + 2.0 * common_error_rate;
    let serves_some_class = || backend.classes.values().any(|class| is_serving(class, now));
    let fails_for_all = backend.error_rate > max_error_rate && !serves_some_class();
    if backend.ejection.until.is_some() || fails_for_all {
        FailureVerdict::Eject
    } else if backend.class_mut(attempt.class).error_rate > max_error_rate {
        FailureVerdict::EjectForClass
    } else {
        FailureVerdict::Tolerate
    }
}

fn raise_error_rate(error_rate: &mut f64) {
    *error_rate += (1.0 - *error_rate) * ERROR_WEIGHT;
}

/// Returns whether the backend answered a request of the class recently and has almost no errors for it.
fn is_serving(class: &ClassHealth, now: Time) -> bool {
    class.error_rate < ERROR_WEIGHT / 2.0 && now < class.answered_at + Micros::from_secs(EJECTION_TERM_S)
}

/// Ejects the backend, unless its term is still running; returns whether it did. `jitter` is in [0, 1).
pub(crate) fn eject(backend: &mut BackendHealth, now: Time, jitter: f64) -> bool {
    let term_s = EJECTION_TERM_S * (0.75 + 0.5 * jitter);
    let ejection = &mut backend.ejection;
    if ejection.until.is_some_and(|until| now < until) {
        return false;
    }
    let doublings = f64::from(ejection.consecutive_ejections.min(MAX_TERM_DOUBLINGS as i32));
    ejection.until = Some(now + Micros::from_secs(term_s * doublings.exp2()));
    ejection.consecutive_ejections += 1;
    ejection.probation_successes = 0;
    backend.plan.readiness = 0.0;
    true
}

/// Ejects the backend for one class, unless it is already ejected for it; returns whether it did.
pub(crate) fn eject_for_class(backend: &mut BackendHealth, class: usize, now: Time) -> bool {
    let health = backend.class_mut(class);
    if now < health.ejected_until {
        return false;
    }
    let doublings = f64::from(health.consecutive_ejections.min(MAX_TERM_DOUBLINGS));
    health.ejected_until = now + Micros::from_secs(EJECTION_TERM_S * doublings.exp2());
    health.consecutive_ejections += 1;
    true
}

/// Restores an ejection from an earlier process: its term is over, and the backend is on probation from now
/// on.
pub(crate) fn restore_ejection(backend: &mut BackendHealth, now: Time, consecutive_ejections: u32) {
    let ejection = &mut backend.ejection;
    ejection.until = Some(now);
    ejection.consecutive_ejections = i32::try_from(consecutive_ejections).unwrap_or(i32::MAX).max(1);
    ejection.probation_successes = 0;
}
