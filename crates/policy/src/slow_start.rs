//! Slow start: a backend that has just booted bears only a part of its capacity, and falls over when all
//! proxies together send it too much inside the overload window.

use crate::api::{Backend, Config, KindId, Time};
use crate::backend_health::BackendHealth;
use crate::estimates::KindStats;
use crate::subset::subset_position;
use std::collections::BTreeMap;

/// The part of the warm-up budget that is used: the rest is for skew between proxies and heavy requests.
const BUDGET_MARGIN: f64 = 0.8;

/// The part of its capacity that a backend has at least.
pub(crate) fn slow_start_factor(config: &Config, now: Time, entry: &Backend) -> f64 {
    let age = entry.started_at.map_or(f64::MAX, |started_at| {
        (now - started_at).secs() / config.slow_start.duration.secs().max(1e-6)
    });
    config.slow_start.floor + (1.0 - config.slow_start.floor) * age.min(1.0)
}

/// Shares the warm-up budget of a backend between the processes of all proxies.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Another process acts for this proxy, or did inside the overload window, until then.
    shared_until: Time,
}

impl SlowStart {
    /// So many processes act for this proxy now. What another one sent weighs on a cold backend for a window
    /// more.
    pub(crate) fn set_process_count(&mut self, now: Time, count: u32, config: &Config) {
        self.shared_until = if count <= 1 { now + config.slow_start.overload_window } else { Time(u64::MAX) };
    }

    /// How many processes act for each proxy: each one expects all other proxies to do as it does.
    pub(crate) fn processes_per_proxy(&self, now: Time) -> f64 {
        1.0 + f64::from(now < self.shared_until)
    }
}

/// What the warm-up budget of a backend depends on.
#[derive(Clone, Copy)]
pub(crate) struct WarmupBudget<'a> {
    pub now: Time,
    pub config: &'a Config,
    pub kinds: &'a BTreeMap<KindId, KindStats>,
    pub slow_start: &'a SlowStart,
}

impl WarmupBudget<'_> {
    /// Work that all proxies together may send to a backend inside the present overload window.
    fn fleet_warmup_budget(&self, backend: &BackendHealth) -> f64 {
        let config = self.config;
        let window_start = self.now - config.slow_start.overload_window;
        let factor = slow_start_factor(config, window_start, &backend.entry);
        if factor >= 1.0 {
            return f64::MAX;
        }
        let known = self.kinds.get(&backend.entry.kind).and_then(sustainable_rate);
        let rate = known.unwrap_or_else(|| 1.0 / longest_objective_s(config));
        let total =
            config.slow_start.overload_multiple * factor * rate * config.slow_start.overload_window.secs();
        total * BUDGET_MARGIN / self.slow_start.processes_per_proxy(self.now)
    }

    /// How many proxies may send to it: where it bears less than one request of each, the first in its order.
    pub(crate) fn permitted_senders(&self, backend: &BackendHealth) -> f64 {
        self.fleet_warmup_budget(backend).floor().clamp(1.0, f64::from(self.config.proxy_count))
    }

    /// Work that this proxy may still send to a backend inside the present overload window.
    pub(crate) fn warmup_budget(&self, backend: &BackendHealth) -> f64 {
        let senders = self.permitted_senders(backend);
        let per_sender = (self.fleet_warmup_budget(backend) / senders).max(1.0);
        let is_sender = subset_position(self.config, backend.entry.order_key) < senders;
        let own = if is_sender { per_sender } else { 0.0 };
        own - backend.sent_work.total_within(self.now, self.config.slow_start.overload_window)
    }
}

/// Requests a second that a warm backend of the kind surely serves: with few ready backends the service rate
/// overshoots, and twice the inverse of the latency is safe.
fn sustainable_rate(kind: &KindStats) -> Option<f64> {
    kind.latency.get().map(|latency_s| kind.service_rate.min(2.0 / latency_s))
}

/// The longest latency objective, in seconds: a backend that does not serve a request within it is of no use.
fn longest_objective_s(config: &Config) -> f64 {
    config.classes.iter().map(|class| class.latency_objective.secs()).fold(0.0, f64::max)
}
