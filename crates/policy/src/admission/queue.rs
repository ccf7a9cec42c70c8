//! The queue of requests that wait for a backend.

use crate::api::{Config, RequestId, Time};
use crate::estimates::Estimates;
use crate::requests::{PendingRequest, RequestTable, LOW_PRIORITY};

/// A request taken from the queue, with the keys that decide its order.
pub(crate) struct QueuedRequest {
    pub request: RequestId,
    /// Priority by which the request can be blocked; a retry has the highest.
    pub priority: f64,
    arrived_at: Time,
    /// Priority weight per unit of work, scaled by the priority.
    weight_per_work: f64,
}

/// Requests that wait for a backend.
#[derive(Default)]
pub(crate) struct RequestQueue {
    waiting: Vec<RequestId>,
    /// Requests below this priority have found no backend since the last event that could free one.
    blocked_below: f64,
}

impl RequestQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn push(&mut self, request: RequestId) {
        self.waiting.push(request);
    }

    pub(crate) fn push_if_absent(&mut self, request: RequestId) {
        if !self.waiting.contains(&request) {
            self.waiting.push(request);
        }
    }

    pub(crate) fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// Unblocks all requests, after an event that may have freed a backend.
    pub(crate) fn unblock(&mut self) {
        self.blocked_below = 0.0;
    }

    /// Blocks the requests that are not more urgent than this one, which found no backend: they would find
    /// none either, and trying each takes time.
    pub(crate) fn block(&mut self, request: &PendingRequest) {
        let blocked = if request.is_low_priority() { LOW_PRIORITY } else { f64::MAX };
        self.blocked_below = self.blocked_below.max(blocked);
    }

    pub(crate) fn is_blocked(&self, queued: &QueuedRequest) -> bool {
        queued.priority < self.blocked_below
    }

    /// Takes all requests out of the queue, in descending order of weight per work and the newest first among
    /// equals; takes none if all are blocked.
    pub(crate) fn take_in_order(
        &mut self, config: &Config, estimates: &Estimates, requests: &RequestTable,
    ) -> Vec<QueuedRequest> {
        if self.waiting.is_empty() || self.blocked_below == f64::MAX {
            return Vec::new();
        }
        let mut ordered = Vec::new();
        for id in std::mem::take(&mut self.waiting) {
            let Some(request) = requests.pending.get(&id) else { continue };
            let weight = config.classes[request.class].priority_weight;
            ordered.push(QueuedRequest {
                request: id,
                priority: if request.attempts.is_empty() { request.priority } else { f64::MAX },
                arrived_at: request.arrived_at,
                weight_per_work: weight / estimates.relative_work(request.class) * request.priority,
            });
        }
        ordered.sort_by(|a, b| {
            let by_weight = b.weight_per_work.total_cmp(&a.weight_per_work);
            by_weight.then(b.arrived_at.cmp(&a.arrived_at)).then(a.request.cmp(&b.request))
        });
        ordered
    }
}
