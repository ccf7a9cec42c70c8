//! The backends of the endpoint list and their state.

use crate::api::{Backend, BackendId, BackendState, ListUpdate, Micros, Time};
use crate::backend_health::BackendHealth;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of backends examined in one event: all of a small fleet, a part of a larger one.
pub(crate) const SMALL_FLEET: usize = 256;

/// The position of a backend in an order that all proxies share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OrderKey {
    pub order_key: u64,
    pub backend: BackendId,
}

/// All known backends.
#[derive(Default)]
pub(crate) struct BackendTable {
    pub by_id: BTreeMap<BackendId, BackendHealth>,
    /// The backends in the order that all proxies share.
    pub shared_order: BTreeSet<OrderKey>,
    /// Backends that were removed from the list and may still have attempts in flight.
    removed: BTreeSet<BackendId>,
    /// Backends with attempts that look lost.
    pub suspects: Vec<BackendId>,
    /// Backends that operators have cordoned.
    cordoned: BTreeSet<BackendId>,
    /// When formerly cordoned backends returned to service.
    uncordoned_at: BTreeMap<BackendId, Time>,
}

impl BackendTable {
    /// Applies an update of the endpoint list.
    pub(crate) fn apply_update(&mut self, update: ListUpdate, entries: Vec<Backend>) {
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.mark_absent_as_removed(&entries);
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        self.drop_removed();
    }

    fn mark_absent_as_removed(&mut self, entries: &[Backend]) {
        let listed: BTreeSet<BackendId> = entries.iter().map(|entry| entry.id).collect();
        for (id, backend) in self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            backend.entry.state = BackendState::Removed;
            self.removed.insert(*id);
        }
    }

    fn apply_entry(&mut self, mut entry: Backend) {
        let id = entry.id;
        entry.started_at = entry.started_at.max(self.uncordoned_at.get(&id).copied());
        let backend = self.by_id.entry(id).or_default();
        if backend.entry.started_at != entry.started_at {
            // A different start time means that a new process has taken over the address.
            backend.reset_for_new_process();
        }
        backend.cordoned = self.cordoned.contains(&id);
        self.shared_order.remove(&OrderKey { order_key: backend.entry.order_key, backend: id });
        self.shared_order.insert(OrderKey { order_key: entry.order_key, backend: id });
        if entry.state == BackendState::Removed {
            self.removed.insert(id);
        }
        backend.entry = entry;
    }

    /// Drops removed backends that have nothing in flight.
    fn drop_removed(&mut self) {
        for id in std::mem::take(&mut self.removed) {
            let Some(backend) = self.by_id.get(&id) else { continue };
            if backend.entry.state != BackendState::Removed {
                continue;
            }
            if backend.load.in_flight > 0 {
                self.removed.insert(id);
                continue;
            }
            self.shared_order.remove(&OrderKey { order_key: backend.entry.order_key, backend: id });
            self.by_id.remove(&id);
        }
    }

    /// Sets the cordoned backends, effective at once. A backend that returns to service counts as just
    /// started: it may have been restarted, and the endpoint list reports that only seconds later.
    pub(crate) fn set_cordoned(&mut self, now: Time, backends: Vec<BackendId>, slow_start: Micros) {
        let cordoned: BTreeSet<BackendId> = backends.into_iter().collect();
        self.uncordoned_at.retain(|id, at| now - *at < slow_start && !cordoned.contains(id));
        self.uncordoned_at.extend(self.cordoned.difference(&cordoned).map(|id| (*id, now)));
        let changed: Vec<BackendId> = self.cordoned.symmetric_difference(&cordoned).copied().collect();
        self.cordoned = cordoned;
        for id in changed {
            let Some(backend) = self.by_id.get_mut(&id) else { continue };
            backend.cordoned = self.cordoned.contains(&id);
            if !backend.cordoned {
                backend.reset_for_new_process();
                backend.entry.started_at = backend.entry.started_at.max(Some(now));
            }
        }
    }

    /// Clears the marks of all suspects, before the next check of the attempts in flight.
    pub(crate) fn clear_suspects(&mut self) {
        for id in std::mem::take(&mut self.suspects) {
            let Some(backend) = self.by_id.get_mut(&id) else { continue };
            backend.load.lost = 0;
            backend.silent_attempts = 0;
            for class in backend.classes.values_mut() {
                class.silent_attempts = 0;
            }
        }
    }
}
