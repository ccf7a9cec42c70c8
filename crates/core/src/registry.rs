//! Who the backends are: their names, numbers and addresses, and which of them operators have taken out.

use crate::retired::RetiredBackends;
use lotusdeck_policy::settings::{EndpointRecord, Names};
use lotusdeck_policy::{Backend, BackendId, BackendState, ListUpdate};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tracing::{debug, info};

/// An entry of the list of backends.
pub struct Endpoint {
    /// The same at every proxy.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it may be sent.
    pub state: BackendState,
    /// What the module is told of it.
    pub row: EndpointRecord,
}

/// What an entry says that is not understood whole.
pub struct PartialEndpoint {
    /// Whom it names.
    pub name: String,
    /// `None`: as it was.
    pub state: Option<BackendState>,
}

/// What a list says, or the changes to one.
#[derive(Default)]
pub struct EndpointUpdate {
    /// The entries that were understood.
    pub complete: Vec<Endpoint>,
    /// The others, behind those: a backend that is known keeps all else that is known of it, one that is not stays
    /// unknown.
    pub partial: Vec<PartialEndpoint>,
}

impl From<Vec<Endpoint>> for EndpointUpdate {
    fn from(entries: Vec<Endpoint>) -> EndpointUpdate {
        EndpointUpdate { complete: entries, partial: Vec::new() }
    }
}

pub(crate) struct KnownBackend {
    pub name: String,
    pub address: SocketAddr,
    pub state: BackendState,
    /// As the module was last told of it.
    notified: Backend,
}

#[derive(Default)]
pub(crate) struct Registry {
    /// Those on the list, and those gone that still hold an attempt.
    backends: HashMap<BackendId, KnownBackend>,
    numbers: HashMap<String, BackendId>,
    /// Operators may still name them.
    retired: RetiredBackends,
    /// Those that the module knows to be cordoned.
    cordoned: Vec<BackendId>,
    /// How many have ever been met.
    next_id: u32,
}

impl Registry {
    /// Takes news of the list; the entries as the module knows them. Nothing is forgotten of those that hold an
    /// attempt or are banned: a ban outlasts an absence, and so has the number that the module knows it by.
    pub(crate) fn update(
        &mut self, update: ListUpdate, EndpointUpdate { complete: entries, partial }: EndpointUpdate,
        names: &mut Names, holds: &HashSet<BackendId>, banned: impl Fn(&str) -> bool,
    ) -> Vec<Backend> {
        // What was sound of them stays in force, unless they leave or a sound entry says otherwise.
        let few = if partial.is_empty() { &[] } else { entries.as_slice() };
        let named: HashSet<&str> = few.iter().map(|e| e.name.as_str()).collect();
        let was = |name: &str| Some(self.backends.get(&self.id_of(name)?)?.state);
        let held = |p: PartialEndpoint| {
            let state = p.state.or_else(|| was(&p.name).filter(|_| !named.contains(p.name.as_str())))?;
            Some((p.name, state))
        };
        let held: Vec<(String, BackendState)> = partial.into_iter().filter_map(held).collect();
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.backends.values_mut().for_each(|b| b.state = BackendState::Removed);
        }
        let mut told = Vec::with_capacity(entries.len());
        for e in entries {
            let id = *self.numbers.entry(e.name.clone()).or_insert_with(|| {
                self.next_id += 1;
                let id = BackendId(self.next_id - 1);
                // The module's lines speak of numbers.
                info!(backend = id.0, name = %e.name, address = %e.address, "backend met");
                id
            });
            if update != ListUpdate::Cached {
                debug!(backend = id.0, name = %e.name, address = %e.address, state = ?e.state, "backend listed");
            }
            let entry = names.resolve(&e.row, id);
            told.push(entry.clone());
            self.backends.insert(
                id,
                KnownBackend { name: e.name, address: e.address, state: e.state, notified: entry },
            );
        }
        for (name, state) in held {
            let known = self.id_of(&name).and_then(|id| self.backends.get_mut(&id));
            told.extend(known.map(|known| {
                (known.state, known.notified.state) = (state, state);
                known.notified.clone()
            }));
        }
        self.backends.retain(|id, b| {
            let keep = b.state != BackendState::Removed || holds.contains(id) || banned(&b.name);
            if !keep {
                self.numbers.remove(&b.name);
                self.retired.add(&b.name);
            }
            keep
        });
        told
    }

    /// Whether the list has or had a backend of that name.
    pub(crate) fn knows(&self, name: &str) -> bool {
        self.numbers.contains_key(name) || self.retired.contains(name)
    }

    /// The number of the backend of that name.
    pub(crate) fn id_of(&self, name: &str) -> Option<BackendId> {
        self.numbers.get(name).copied()
    }

    pub(crate) fn get(&self, id: BackendId) -> Option<&KnownBackend> {
        self.backends.get(&id)
    }

    /// Those that may be sent requests: the list allows it and no operator forbids it.
    pub(crate) fn usable(&self, banned: impl Fn(&str) -> bool) -> HashSet<BackendId> {
        let usable = |b: &KnownBackend| b.state == BackendState::Ready && !banned(&b.name);
        self.backends.iter().filter(|(_, b)| usable(b)).map(|(id, _)| *id).collect()
    }

    /// All that are banned, where that is another set than at the last call.
    pub(crate) fn cordon_change(&mut self, banned: impl Fn(&str) -> bool) -> Option<Vec<BackendId>> {
        let now = self.backends.iter().filter(|(_, b)| banned(&b.name));
        let mut now: Vec<BackendId> = now.map(|(id, _)| *id).collect();
        now.sort();
        if now == self.cordoned {
            return None;
        }
        self.cordoned = now.clone();
        Some(now)
    }

    /// None is known and none is remembered by a number.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.backends.is_empty() && self.numbers.is_empty()
    }
}
