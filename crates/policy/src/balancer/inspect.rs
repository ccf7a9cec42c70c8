//! What others may know of a balancer.

use super::Balancer;
use crate::api::{ClassId, Snapshot, Time};
use crate::snapshot::take_snapshot;
use crate::view::{BackendView, KindView};

impl Balancer {
    /// The kinds of machines, in the order of their numbers.
    pub fn kinds(&self) -> impl Iterator<Item = KindView> + '_ {
        self.traffic.estimates.kinds.iter().map(|(id, kind)| KindView::new(*id, kind))
    }

    /// The backends, in the order of their numbers.
    pub fn backends(&self) -> impl Iterator<Item = BackendView> + '_ {
        self.backends.by_id.iter().map(|(id, backend)| BackendView::new(*id, backend))
    }

    /// The classes of open requests and of attempts in flight.
    pub fn classes_in_use(&self) -> impl Iterator<Item = ClassId> + '_ {
        let requests = self.requests.pending.values().map(|request| request.class);
        let attempts = self.requests.in_flight.values().map(|attempt| attempt.class);
        requests.chain(attempts).map(ClassId)
    }

    /// What is worth keeping at `now`. Visits each backend once.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        take_snapshot(now, &self.config, &self.traffic.estimates, &self.backends)
    }
}
