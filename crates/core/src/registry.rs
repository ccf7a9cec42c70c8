//! Who the backends are: their names, numbers and addresses, and which of them operators have taken out.

use crate::former::Former;
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
pub struct Partial {
    /// Whom it names.
    pub name: String,
    /// `None`: as it was.
    pub state: Option<BackendState>,
}

/// What a list says, or the changes to one.
#[derive(Default)]
pub struct News {
    /// The entries that were understood.
    pub entries: Vec<Endpoint>,
    /// The others, behind those: a backend that is known keeps all else that is known of it, one that is not stays
    /// unknown.
    pub partial: Vec<Partial>,
}

impl From<Vec<Endpoint>> for News {
    fn from(entries: Vec<Endpoint>) -> News {
        News { entries, partial: Vec::new() }
    }
}

pub(crate) struct Known {
    pub name: String,
    pub address: SocketAddr,
    pub state: BackendState,
    /// As the module was last told of it.
    told: Backend,
}

#[derive(Default)]
pub(crate) struct Registry {
    /// Those on the list, and those gone that still hold an attempt.
    backends: HashMap<BackendId, Known>,
    numbers: HashMap<String, BackendId>,
    /// Operators may still name them.
    former: Former,
    /// Those that the module knows to be cordoned.
    cordoned: Vec<BackendId>,
    /// How many have ever been met.
    met: u32,
}

impl Registry {
    /// Takes news of the list; the entries as the module knows them. Nothing is forgotten of those that hold an
    /// attempt or are banned: a ban outlasts an absence, and so has the number that the module knows it by.
    pub fn take(
        &mut self, update: ListUpdate, News { entries, partial }: News, names: &mut Names,
        holds: &HashSet<BackendId>, banned: impl Fn(&str) -> bool,
    ) -> Vec<Backend> {
        // What was sound of them stays in force, unless they leave or a sound entry says otherwise.
        let few = if partial.is_empty() { &[] } else { entries.as_slice() };
        let named: HashSet<&str> = few.iter().map(|e| e.name.as_str()).collect();
        let was = |name: &str| Some(self.backends.get(&self.number(name)?)?.state);
        let held = |p: Partial| {
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
                self.met += 1;
                let id = BackendId(self.met - 1);
                // The module's lines speak of numbers.
                info!(backend = id.0, name = %e.name, address = %e.address, "backend met");
                id
            });
            if update != ListUpdate::Cached {
                debug!(backend = id.0, name = %e.name, address = %e.address, state = ?e.state, "backend listed");
            }
            let entry = names.resolve(&e.row, id);
            told.push(entry.clone());
            self.backends.insert(id, Known { name: e.name, address: e.address, state: e.state, told: entry });
        }
        for (name, state) in held {
            let known = self.number(&name).and_then(|id| self.backends.get_mut(&id));
            told.extend(known.map(|known| {
                (known.state, known.told.state) = (state, state);
                known.told.clone()
            }));
        }
        self.backends.retain(|id, b| {
            let keep = b.state != BackendState::Removed || holds.contains(id) || banned(&b.name);
            if !keep {
                self.numbers.remove(&b.name);
                self.former.add(&b.name);
            }
            keep
        });
        told
    }

    /// Whether the list has or had a backend of that name.
    pub fn knows(&self, name: &str) -> bool {
        self.numbers.contains_key(name) || self.former.holds(name)
    }

    /// The number of the backend of that name.
    pub fn number(&self, name: &str) -> Option<BackendId> {
        self.numbers.get(name).copied()
    }

    pub fn get(&self, id: BackendId) -> Option<&Known> {
        self.backends.get(&id)
    }

    /// Those that may be sent requests: the list allows it and no operator forbids it.
    pub fn usable(&self, banned: impl Fn(&str) -> bool) -> HashSet<BackendId> {
        let usable = |b: &Known| b.state == BackendState::Ready && !banned(&b.name);
        self.backends.iter().filter(|(_, b)| usable(b)).map(|(id, _)| *id).collect()
    }

    /// All that are banned, where that is another set than at the last call.
    pub fn cordons(&mut self, banned: impl Fn(&str) -> bool) -> Option<Vec<BackendId>> {
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
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty() && self.numbers.is_empty()
    }
}
