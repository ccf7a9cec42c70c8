//! Names and the numbers that stand for them, found by name in constant time.

use crate::api::*;
use hashbrown::HashTable;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

/// Names in the order of their numbers, with an index by name.
///
/// All texts lie in one allocation, so that a table of tens of thousands of names is cloned and dropped at
/// once. The index is keyed at random, as names in requests come from strangers; nothing ever iterates it, so
/// that no decision depends on its order.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameTable {
    texts: String,
    /// Where in `texts` each name ends: it begins where the one before ends.
    ends: Vec<usize>,
    /// The numbers of the names that can be found.
    index: HashTable<u32>,
    hasher: RandomState,
}

impl NameTable {
    /// An empty one with room for so many names.
    pub(crate) fn with_capacity(names: usize) -> NameTable {
        NameTable {
            ends: Vec::with_capacity(names),
            index: HashTable::with_capacity(names),
            ..NameTable::default()
        }
    }

    /// The name of that number, if it was given.
    pub(crate) fn text(&self, number: usize) -> Option<&str> {
        let end = *self.ends.get(number)?;
        let begin = number.checked_sub(1).map_or(0, |before| self.ends[before]);
        self.texts.get(begin..end)
    }

    /// The number of that name. Allocates nothing.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        let same = |number: &u32| self.text(*number as usize) == Some(name);
        let found = self.index.find(self.hasher.hash_one(name), same);
        found.map(|number| *number as usize)
    }

    /// Gives the next number to a name that is not found by it.
    pub(crate) fn push_hidden(&mut self, name: &str) -> usize {
        self.texts.push_str(name);
        self.ends.push(self.texts.len());
        self.ends.len() - 1
    }

    /// Gives the next number to a name; `None` where the name has one already.
    pub(crate) fn push(&mut self, name: &str) -> Option<usize> {
        if self.find(name).is_some() {
            return None;
        }
        let number = self.push_hidden(name);
        let (texts, ends, hasher) = (&self.texts, &self.ends, &self.hasher);
        let hash = |number: &u32| {
            let at = *number as usize;
            let begin = at.checked_sub(1).map_or(0, |before| ends[before]);
            hasher.hash_one(&texts[begin..ends[at]])
        };
        self.index.insert_unique(hasher.hash_one(name), number as u32, hash);
        Some(number)
    }

    /// The number of the name, given here where it is new.
    pub(crate) fn number(&mut self, name: &str) -> u32 {
        let number = self.find(name).or_else(|| self.push(name));
        number.unwrap_or_default() as u32
    }

    /// How many numbers were given.
    pub(crate) fn len(&self) -> usize {
        self.ends.len()
    }

    /// All names, in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).filter_map(|number| self.text(number))
    }
}

/// Names that settings told: each keeps its number when later settings leave it out, but is not found any
/// more.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeclaredNames {
    table: NameTable,
    /// By number: new requests may be of it.
    current: Vec<bool>,
}

impl DeclaredNames {
    /// An empty one with room for so many names.
    pub(crate) fn with_capacity(names: usize) -> DeclaredNames {
        DeclaredNames { table: NameTable::with_capacity(names), current: Vec::with_capacity(names) }
    }

    /// Gives the next number to a name in force; `false` where another in force has that name.
    pub(crate) fn push(&mut self, name: &str) -> bool {
        let new = self.table.push(name).is_some();
        self.current.extend(new.then_some(true));
        new
    }

    /// Gives the next number to a name that was left out.
    pub(crate) fn push_retired(&mut self, name: &str) {
        self.table.push_hidden(name);
        self.current.push(false);
    }

    /// The number of a name in force.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.table.find(name)
    }

    /// The name of that number, in force or not.
    pub(crate) fn text(&self, number: usize) -> Option<&str> {
        self.table.text(number)
    }

    /// New requests may be of that number.
    pub(crate) fn is_current(&self, number: usize) -> bool {
        self.current.get(number).is_some_and(|current| *current)
    }

    /// All names, in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &str> {
        self.table.iter()
    }
}

/// Names in the order of their numbers. Places and kinds met first in a list are numbered then; a clone
/// shares the names of classes and tenants.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(crate) zones: NameTable,
    pub(crate) kinds: NameTable,
    pub(crate) classes: Arc<DeclaredNames>,
    pub(crate) tenants: Arc<DeclaredNames>,
    /// How often settings have followed upon others.
    pub(crate) generation: u64,
}

impl Names {
    /// The class of that name. Allocates nothing.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.find(name).map(ClassId)
    }

    /// The tenant of that name. Allocates nothing.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.find(name).map(TenantId)
    }

    /// The name of a kind.
    pub fn kind(&self, id: KindId) -> &str {
        self.kinds.text(id.0 as usize).unwrap_or_default()
    }

    /// The number of the kind of that name, given here where it is new.
    pub fn kind_id(&mut self, name: &str) -> KindId {
        KindId(self.kinds.number(name))
    }

    /// The name of a class, current or retired.
    pub fn class_name(&self, id: ClassId) -> &str {
        self.classes.text(id.0).unwrap_or_default()
    }

    /// The name of a tenant, current or left out since.
    pub fn tenant_name(&self, id: TenantId) -> &str {
        self.tenants.text(id.0).unwrap_or_default()
    }

    /// Changes whenever a number may have come to mean something else.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether these are the very names of `other`: no settings were taken since, and no list has added any.
    pub fn is_same_revision(&self, other: &Names) -> bool {
        let sizes = |names: &Names| (names.generation, names.zones.len(), names.kinds.len());
        sizes(self) == sizes(other)
    }

    /// The row as this instance numbers it.
    pub fn resolve(&mut self, row: &EndpointRecord, id: BackendId) -> Backend {
        let zone = ZoneId(self.zones.number(&row.zone));
        let kind = self.kind_id(&row.kind);
        Backend { id, zone, kind, ..row.entry.clone() }
    }
}

/// An entry of a backend list under its plain names; each proxy has numbers of its own for these.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// Where it listens.
    pub address: String,
    zone: String,
    kind: String,
    entry: Backend,
}

impl EndpointRecord {
    /// `same` is what every proxy calls the backend: the order that they share is drawn from it.
    pub fn new(same: &str, address: &str, zone: &str, kind: &str, entry: Backend) -> EndpointRecord {
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3); // FNV-1a
        let mark = same.bytes().fold(0xcbf2_9ce4_8422_2325, fold) >> 20;
        let entry = Backend { order_key: mark, ..entry };
        EndpointRecord { address: address.into(), zone: zone.into(), kind: kind.into(), entry }
    }
}
