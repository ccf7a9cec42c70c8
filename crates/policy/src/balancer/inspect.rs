//! Read access to the state of a balancer.

use super::Balancer;
use crate::api::{ClassId, Snapshot, Time};
use crate::snapshot::take_snapshot;
use crate::view::{BackendView, KindView};

impl Balancer {
    /// Returns the kinds of machines, in the order of their ids.
    pub fn kinds(&self) -> impl Iterator<Item = KindView> + '_ {
        self.traffic.estimates.kinds.iter().map(|(id, kind)| KindView::new(*id, kind))
    }

    /// Returns the backends, in the order of their ids.
    pub fn backends(&self) -> impl Iterator<Item = BackendView> + '_ {
        self.backends.by_id.iter().map(|(id, backend)| BackendView::new(*id, backend))
    }

    /// Returns the classes of open requests and of attempts in flight, with duplicates.
    pub fn classes_in_use(&self) -> impl Iterator<Item = ClassId> + '_ {
        let requests = self.requests.pending.values().map(|request| request.class);
        let attempts = self.requests.in_flight.values().map(|attempt| attempt.class);
        requests.chain(attempts).map(ClassId)
    }

    /// Takes a snapshot of the estimates and of the state that outlives the process. Visits each backend
    /// once.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        take_snapshot(now, &self.config, &self.traffic.estimates, &self.backends)
    }
}
