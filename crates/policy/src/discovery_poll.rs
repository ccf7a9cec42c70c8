//! When to subscribe to the endpoint list, and when to retry.

use crate::api::{DiscoveryMode, ListUpdate, Micros, Time};
use crate::estimators::Rng;

/// The first pause after a failed subscription, before jitter, in seconds.
const MIN_BACKOFF_S: f64 = 0.1;
/// The longest pause before jitter, in seconds: after a silent poll and a slow answer, an update is still
/// applied within the 6 s after which the proxy counts as notified.
const MAX_BACKOFF_S: f64 = 0.8;

/// The state of the subscription to the endpoint list.
pub(crate) struct DiscoveryPoll {
    /// When to subscribe next; `None` while subscribed, or if updates arrive without a subscription.
    next_at: Option<Time>,
    /// The last pause, in seconds; 0 after a success.
    backoff_s: f64,
}

impl DiscoveryPoll {
    /// Creates the state, with a subscription due at `now` if updates require one.
    pub(crate) fn new(mode: DiscoveryMode, now: Time) -> DiscoveryPoll {
        DiscoveryPoll { next_at: (mode != DiscoveryMode::Push).then_some(now), backoff_s: 0.0 }
    }

    pub(crate) fn next_at(&self) -> Option<Time> {
        self.next_at
    }

    /// Records an update; one that discovery sent confirms the subscription.
    pub(crate) fn record_update(&mut self, update: ListUpdate) {
        if matches!(update, ListUpdate::Changes | ListUpdate::Full) {
            self.next_at = None;
            self.backoff_s = 0.0;
        }
    }

    /// Schedules the retry of a failed subscription with exponential backoff and jitter, so that proxies do
    /// not retry in step. With shorter pauses, a whole fleet would keep an overloaded discovery from ever
    /// answering.
    pub(crate) fn record_failure(&mut self, now: Time, poll_within: Micros, rng: &mut Rng) {
        let max_backoff_s = (poll_within.secs() / 8.0).clamp(MIN_BACKOFF_S, MAX_BACKOFF_S);
        self.backoff_s = (self.backoff_s * 2.0).clamp(MIN_BACKOFF_S, max_backoff_s);
        self.next_at = Some(now + Micros::from_secs(self.backoff_s * (0.5 + rng.unit())));
    }

    /// Returns whether to subscribe now. Schedules the next subscription as well, in case this one is lost
    /// without an answer.
    pub(crate) fn take_if_due(&mut self, now: Time, mode: DiscoveryMode) -> bool {
        let DiscoveryMode::Subscribe { poll_within } = mode else { return false };
        if self.next_at.is_none_or(|at| now < at) {
            return false;
        }
        self.next_at = Some(now + poll_within.times(0.5));
        true
    }
}
