//! When to subscribe to the endpoint list, and when to retry.

use crate::api::{DiscoveryMode, ListUpdate, Micros, Time};
use crate::estimators::Rng;

/// The first pause after a failed subscription, before jitter, in seconds.
const MIN_BACKOFF_S: f64 = 0.1;
/// The longest pause before jitter, in seconds: after a silent poll and a slow answer, an update is still
/// applied within the 6 s after which the proxy counts as notified.
const MAX_BACKOFF_S: f64 = 0.8;
/// The time after which a subscription without an answer is requested again, as a fraction of the time within
/// which discovery has to be polled.
const UNANSWERED_FRACTION: f64 = 0.5;

/// The state of the subscription to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subscription {
    /// Confirmed by an update, or not needed, as updates arrive without one.
    Active,
    /// Requested. It is requested again at `retry_at` unless an update confirms it.
    Requested { retry_at: Time },
    /// Not requested yet, or failed: it is requested at `at`.
    Due { at: Time },
}

/// Decides when to subscribe to the endpoint list.
pub(crate) struct DiscoveryPoll {
    subscription: Subscription,
    /// The last pause, in seconds; 0 after a success.
    backoff_s: f64,
}

impl DiscoveryPoll {
    /// Creates the state, with a subscription due at `now` if updates require one.
    pub(crate) fn new(mode: DiscoveryMode, now: Time) -> DiscoveryPoll {
        let subscription = match mode {
            DiscoveryMode::Push => Subscription::Active,
            DiscoveryMode::Subscribe { .. } => Subscription::Due { at: now },
        };
        DiscoveryPoll { subscription, backoff_s: 0.0 }
    }

    /// Returns when to subscribe next; `None` while subscribed.
    pub(crate) fn next_at(&self) -> Option<Time> {
        match self.subscription {
            Subscription::Active => None,
            Subscription::Requested { retry_at: at } | Subscription::Due { at } => Some(at),
        }
    }

    /// Records an update. One that discovery sent confirms a subscription that is requested. After a failure
    /// it can only answer an older request, so the retry stays due.
    pub(crate) fn record_update(&mut self, update: ListUpdate) {
        let is_sent_by_discovery = matches!(update, ListUpdate::Changes | ListUpdate::Full);
        if is_sent_by_discovery && !matches!(self.subscription, Subscription::Due { .. }) {
            self.subscription = Subscription::Active;
            self.backoff_s = 0.0;
        }
    }

    /// Schedules the retry of a failed subscription with exponential backoff and jitter, so that proxies do
    /// not retry in step. With shorter pauses, a whole fleet would keep an overloaded discovery from ever
    /// answering.
    pub(crate) fn record_failure(&mut self, now: Time, poll_within: Micros, rng: &mut Rng) {
        let max_backoff_s = (poll_within.secs() / 8.0).clamp(MIN_BACKOFF_S, MAX_BACKOFF_S);
        self.backoff_s = (self.backoff_s * 2.0).clamp(MIN_BACKOFF_S, max_backoff_s);
        let pause = Micros::from_secs(self.backoff_s * (0.5 + rng.unit()));
        self.subscription = Subscription::Due { at: now + pause };
    }

    /// Returns whether to subscribe now. Schedules the next subscription as well, in case this one is lost
    /// without an answer.
    pub(crate) fn take_if_due(&mut self, now: Time, mode: DiscoveryMode) -> bool {
        let DiscoveryMode::Subscribe { poll_within } = mode else { return false };
        if self.next_at().is_none_or(|at| now < at) {
            return false;
        }
        self.subscription =
            Subscription::Requested { retry_at: now + poll_within.times(UNANSWERED_FRACTION) };
        true
    }
}
