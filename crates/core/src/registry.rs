//! The known backends: their names, ids, addresses and states, and which of them were last reported to the balancer
//! as cordoned.

use crate::drains_at_move::DrainsAtMove;
use crate::retired::RetiredBackends;
use lotusdeck_policy::settings::{EndpointRecord, Names};
use lotusdeck_policy::{Backend, BackendId, BackendState, ListUpdate};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tracing::{debug, info};

/// An entry of the endpoint list.
pub struct Endpoint {
    /// The backend's name, the same at every proxy.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Whether it may be sent requests.
    pub state: BackendState,
    /// The entry as passed on to the balancer.
    pub row: EndpointRecord,
}

/// An entry of the endpoint list that could be decoded only in part.
pub struct PartialEndpoint {
    /// The backend's name.
    pub name: String,
    /// Its new state; `None` leaves the state unchanged.
    pub state: Option<BackendState>,
}

/// An endpoint list, or the changes to one.
#[derive(Default)]
pub struct EndpointUpdate {
    /// The entries that were decoded completely.
    pub complete: Vec<Endpoint>,
    /// The entries that were decoded in part, applied after the complete ones. They change only the state of a known
    /// backend, and do not add an unknown one.
    pub partial: Vec<PartialEndpoint>,
    /// Whether the list is older than the current one was when discovery moved to another address. Such a list does not
    /// make a backend ready that was draining at that time, unless the backend has been restarted since.
    pub predates_move: bool,
}

impl From<Vec<Endpoint>> for EndpointUpdate {
    fn from(complete: Vec<Endpoint>) -> EndpointUpdate {
        EndpointUpdate { complete, ..EndpointUpdate::default() }
    }
}

/// A backend on the list, or one removed from it that still has an attempt in flight or is cordoned.
pub(crate) struct KnownBackend {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) state: BackendState,
    /// The entry that was last passed on to the balancer.
    notified: Backend,
}

/// The state that a backend has after a partial entry.
struct StateChange {
    name: String,
    state: BackendState,
}

/// All backends by id.
#[derive(Default)]
pub(crate) struct Registry {
    /// Backends on the list, and removed ones that still have an attempt in flight or are cordoned.
    backends: HashMap<BackendId, KnownBackend>,
    ids: HashMap<String, BackendId>,
    /// Backends that were removed from the list, which operators may still name.
    retired: RetiredBackends,
    drains_at_move: DrainsAtMove,
    /// The cordoned backends as of the last [`Registry::cordon_change`], sorted.
    cordoned: Vec<BackendId>,
    next_id: u32,
}

impl Registry {
    /// Applies an update of the endpoint list and returns the entries to pass on to the balancer.
    ///
    /// A removed backend is forgotten, with its id, unless it is `in_flight` or cordoned: a cordon stays in effect
    /// while the backend is absent, and the balancer knows the cordoned backends by id.
    pub(crate) fn update(
        &mut self, update: ListUpdate, endpoints: EndpointUpdate, names: &mut Names,
        in_flight: &HashSet<BackendId>, is_cordoned: impl Fn(&str) -> bool,
    ) -> Vec<Backend> {
        let EndpointUpdate { complete, partial, predates_move } = endpoints;
        // Resolved before the complete entries are applied, as a partial entry may keep the state from before this
        // update.
        let state_changes = self.resolve_states(partial, &complete);
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.backends.values_mut().for_each(|backend| backend.state = BackendState::Removed);
        }
        let mut notifications = Vec::with_capacity(complete.len());
        if update == ListUpdate::Full && !predates_move {
            self.drains_at_move.clear();
        }
        for endpoint in complete {
            let mut entry = self.resolve(endpoint, update, names);
            if predates_move {
                entry.state = self.drains_at_move.state_by_older_entry(&entry.name, &entry.notified);
                entry.notified.state = entry.state;
            } else {
                self.drains_at_move.forget(&entry.name);
            }
            notifications.push(entry.notified.clone());
            self.backends.insert(entry.notified.id, entry);
        }
        for change in state_changes {
            notifications.extend(self.apply_state(&change));
        }
        self.retire_removed(in_flight, is_cordoned);
        notifications
    }

    /// Resolves the states that partial entries result in: the entry's own, or else the backend's current one unless
    /// a complete entry of the same name overrides it.
    fn resolve_states(&self, partial: Vec<PartialEndpoint>, complete: &[Endpoint]) -> Vec<StateChange> {
        if partial.is_empty() {
            return Vec::new();
        }
        let overridden: HashSet<&str> = complete.iter().map(|endpoint| endpoint.name.as_str()).collect();
        let resolve = |entry: PartialEndpoint| {
            let state = match entry.state {
                Some(state) => state,
                None if overridden.contains(entry.name.as_str()) => return None,
                None => self.backends.get(&self.id_of(&entry.name)?)?.state,
            };
            Some(StateChange { name: entry.name, state })
        };
        partial.into_iter().filter_map(resolve).collect()
    }

    /// Resolves the backend that an entry describes, and assigns an id to a new one.
    fn resolve(&mut self, endpoint: Endpoint, update: ListUpdate, names: &mut Names) -> KnownBackend {
        let Endpoint { name, address, state, row } = endpoint;
        let id = self.id_or_assign(&name, address);
        if update != ListUpdate::Cached {
            debug!(backend = id.0, name = %name, %address, ?state, "backend listed");
        }
        let notified = names.resolve(&row, id);
        KnownBackend { name, address, state, notified }
    }

    /// Records that discovery moves to another address: an older list may report a backend as ready that is draining
    /// now.
    pub(crate) fn record_move(&mut self) {
        for backend in self.backends.values().filter(|backend| backend.state == BackendState::Draining) {
            self.drains_at_move.record(&backend.name, &backend.notified);
        }
    }

    fn id_or_assign(&mut self, name: &str, address: SocketAddr) -> BackendId {
        if let Some(id) = self.id_of(name) {
            return id;
        }
        let id = BackendId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.into(), id);
        // The balancer's log lines identify backends by id alone.
        info!(backend = id.0, name = %name, %address, "backend discovered");
        id
    }

    /// Sets the state of a backend, if it is known; returns the entry to pass on to the balancer.
    fn apply_state(&mut self, change: &StateChange) -> Option<Backend> {
        let id = self.id_of(&change.name)?;
        let backend = self.backends.get_mut(&id)?;
        backend.state = change.state;
        backend.notified.state = change.state;
        Some(backend.notified.clone())
    }

    fn retire_removed(&mut self, in_flight: &HashSet<BackendId>, is_cordoned: impl Fn(&str) -> bool) {
        self.backends.retain(|id, backend| {
            let is_listed = backend.state != BackendState::Removed;
            let keep = is_listed || in_flight.contains(id) || is_cordoned(&backend.name);
            if !keep {
                self.ids.remove(&backend.name);
                self.retired.add(&backend.name);
            }
            keep
        });
    }

    /// Returns whether the list contains or recently contained a backend of that name.
    pub(crate) fn knows(&self, name: &str) -> bool {
        self.ids.contains_key(name) || self.retired.contains(name)
    }

    /// Returns the id of the backend of that name.
    pub(crate) fn id_of(&self, name: &str) -> Option<BackendId> {
        self.ids.get(name).copied()
    }

    /// Returns the backend of that id.
    pub(crate) fn get(&self, id: BackendId) -> Option<&KnownBackend> {
        self.backends.get(&id)
    }

    /// Returns the backends that may be sent requests: those that are ready on the list and not cordoned.
    pub(crate) fn usable(&self, is_cordoned: impl Fn(&str) -> bool) -> HashSet<BackendId> {
        let is_usable =
            |backend: &KnownBackend| backend.state == BackendState::Ready && !is_cordoned(&backend.name);
        self.backends.iter().filter(|(_, backend)| is_usable(backend)).map(|(id, _)| *id).collect()
    }

    /// Returns all cordoned backends, or `None` if they are the same as at the last call.
    pub(crate) fn cordon_change(&mut self, is_cordoned: impl Fn(&str) -> bool) -> Option<Vec<BackendId>> {
        let cordoned = self.backends.iter().filter(|(_, backend)| is_cordoned(&backend.name));
        let mut cordoned: Vec<BackendId> = cordoned.map(|(id, _)| *id).collect();
        cordoned.sort();
        if cordoned == self.cordoned {
            return None;
        }
        self.cordoned.clone_from(&cordoned);
        Some(cordoned)
    }

    /// Returns whether there are neither backends nor ids.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.backends.is_empty() && self.ids.is_empty()
    }
}
