//! Slow start: a backend that has just started has only a part of its capacity, and fails if all proxies
//! together send it too much work within the overload window.

use crate::api::{Backend, Config, KindId, Time};
use crate::backend_health::BackendHealth;
use crate::estimates::KindStats;
use crate::subset::subset_position;
use std::collections::BTreeMap;

/// Fraction of the warm-up budget that is used; the rest allows for skew between proxies and for heavy
/// requests.
const BUDGET_MARGIN: f64 = 0.8;

/// Returns the fraction of its full capacity that a backend has at least, according to its age.
pub(crate) fn slow_start_factor(config: &Config, now: Time, entry: &Backend) -> f64 {
    let age = entry.started_at.map_or(f64::MAX, |started_at| {
        (now - started_at).secs() / config.slow_start.duration.secs().max(1e-6)
    });
    config.slow_start.floor + (1.0 - config.slow_start.floor) * age.min(1.0)
}

/// Tracks how many processes of each proxy share the warm-up budget of a backend.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Until when the budget is shared with another process of this proxy: while there is one, and for an
    /// overload window after.
    shared_until: Time,
}

impl SlowStart {
    /// Sets the number of processes that act for this proxy. What another process sent still counts against
    /// the budget of a cold backend for one overload window.
    pub(crate) fn set_process_count(&mut self, now: Time, count: u32, config: &Config) {
        self.shared_until = if count <= 1 { now + config.slow_start.overload_window } else { Time(u64::MAX) };
    }

    /// Returns the assumed number of processes of each proxy: all other proxies are assumed to have as many
    /// as this one.
    pub(crate) fn processes_per_proxy(&self, now: Time) -> f64 {
        1.0 + f64::from(now < self.shared_until)
    }
}

/// The inputs of the warm-up budget of a backend.
#[derive(Clone, Copy)]
pub(crate) struct WarmupBudget<'a> {
    pub now: Time,
    pub config: &'a Config,
    pub kinds: &'a BTreeMap<KindId, KindStats>,
    pub slow_start: &'a SlowStart,
}

impl WarmupBudget<'_> {
    /// Returns the work that all proxies together, with one process each, may send to a backend within the
    /// current overload window.
    fn fleet_warmup_budget(&self, backend: &BackendHealth) -> f64 {
        let config = self.config;
        let window_start = self.now - config.slow_start.overload_window;
        let factor = slow_start_factor(config, window_start, &backend.entry);
        if factor >= 1.0 {
            return f64::MAX;
        }
        let known_rate = self.kinds.get(&backend.entry.kind).and_then(sustainable_rate);
        let rate = known_rate.unwrap_or_else(|| 1.0 / longest_objective_s(config));
        let total =
            config.slow_start.overload_multiple * factor * rate * config.slow_start.overload_window.secs();
        total * BUDGET_MARGIN / self.slow_start.processes_per_proxy(self.now)
    }

    /// Returns how many proxies may send to the backend: if its budget is less than one request for each,
    /// only the first ones in its order of proxies.
    pub(crate) fn permitted_senders(&self, backend: &BackendHealth) -> f64 {
        self.fleet_warmup_budget(backend).floor().clamp(1.0, f64::from(self.config.proxy_count))
    }

    /// Returns the work that this proxy may still send to a backend within the current overload window.
    pub(crate) fn warmup_budget(&self, backend: &BackendHealth) -> f64 {
        let senders = self.permitted_senders(backend);
        let per_sender = (self.fleet_warmup_budget(backend) / senders).max(1.0);
        let is_sender = subset_position(self.config, backend.entry.order_key) < senders;
        let own = if is_sender { per_sender } else { 0.0 };
        own - backend.sent_work.total_within(self.now, self.config.slow_start.overload_window)
    }
}

/// Returns the requests per second that a warm backend of the kind certainly serves. With few ready backends
/// the service rate is an overestimate, so it is limited to twice the inverse of the latency, which is safe.
fn sustainable_rate(kind: &KindStats) -> Option<f64> {
    kind.latency.get().map(|latency_s| kind.service_rate.min(2.0 / latency_s))
}

/// Returns the longest latency objective, in seconds. It is the assumed service time before one was measured,
/// as a slower backend would be of no use.
fn longest_objective_s(config: &Config) -> f64 {
    config.classes.iter().map(|class| class.latency_objective.secs()).fold(0.0, f64::max)
}
