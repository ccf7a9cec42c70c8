//! Tables of names that find the number of a name in constant time.

use hashbrown::HashTable;
use std::hash::{BuildHasher, RandomState};

/// Names in the order of their numbers, with an index by name.
///
/// All texts share one allocation, so that a table of tens of thousands of names is cloned and dropped
/// quickly. The hashes of the index are keyed at random, as names in requests are untrusted; the index is
/// never iterated over, so that no decision depends on its order.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameTable {
    texts: String,
    /// The end of each name in `texts`; it begins where the previous one ends.
    ends: Vec<usize>,
    /// The numbers of the names that can be found.
    index: HashTable<u32>,
    hasher: RandomState,
}

impl NameTable {
    /// Creates an empty table with capacity for `names` names.
    pub(crate) fn with_capacity(names: usize) -> NameTable {
        NameTable {
            ends: Vec::with_capacity(names),
            index: HashTable::with_capacity(names),
            ..NameTable::default()
        }
    }

    /// Returns the name with this number, if it was assigned.
    pub(crate) fn text(&self, number: usize) -> Option<&str> {
        text_at(&self.texts, &self.ends, number)
    }

    /// Returns the number of a name that can be found. Does not allocate.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        let same = |number: &u32| self.text(*number as usize) == Some(name);
        let found = self.index.find(self.hasher.hash_one(name), same);
        found.map(|number| *number as usize)
    }

    /// Assigns the next number to a name without adding it to the index, so that it cannot be found.
    pub(crate) fn push_unindexed(&mut self, name: &str) -> usize {
        self.texts.push_str(name);
        self.ends.push(self.texts.len());
        self.ends.len() - 1
    }

    /// Assigns the next number to a name; returns `None` if the name already has one.
    pub(crate) fn push(&mut self, name: &str) -> Option<usize> {
        if self.find(name).is_some() {
            return None;
        }
        let number = self.push_unindexed(name);
        // The fields are borrowed separately, as the index is borrowed mutably.
        let texts = &self.texts;
        let ends = &self.ends;
        let hasher = &self.hasher;
        let rehash =
            |number: &u32| hasher.hash_one(text_at(texts, ends, *number as usize).unwrap_or_default());
        self.index.insert_unique(hasher.hash_one(name), number as u32, rehash);
        Some(number)
    }

    /// Returns the number of a name, which is assigned if the name is new.
    pub(crate) fn number(&mut self, name: &str) -> u32 {
        let number = self.find(name).or_else(|| self.push(name));
        number.unwrap_or_default() as u32
    }

    /// Returns how many numbers were assigned.
    pub(crate) fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns all names, in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).filter_map(|number| self.text(number))
    }
}

/// Returns the name with this number, if it was assigned.
fn text_at<'a>(texts: &'a str, ends: &[usize], number: usize) -> Option<&'a str> {
    let end = *ends.get(number)?;
    let begin = match number.checked_sub(1) {
        Some(previous) => *ends.get(previous)?,
        None => 0,
    };
    texts.get(begin..end)
}

/// The names that settings declare. A name that later settings omit keeps its number but can no longer be
/// found.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeclaredNames {
    table: NameTable,
    /// Whether each number is current, so that new requests can refer to it.
    current: Vec<bool>,
}

impl DeclaredNames {
    /// Creates an empty table with capacity for `names` names.
    pub(crate) fn with_capacity(names: usize) -> DeclaredNames {
        DeclaredNames { table: NameTable::with_capacity(names), current: Vec::with_capacity(names) }
    }

    /// Assigns the next number to a current name; returns `false` if another current name is equal.
    pub(crate) fn push(&mut self, name: &str) -> bool {
        let new = self.table.push(name).is_some();
        self.current.extend(new.then_some(true));
        new
    }

    /// Assigns the next number to a name that the settings no longer declare.
    pub(crate) fn push_retired(&mut self, name: &str) {
        self.table.push_unindexed(name);
        self.current.push(false);
    }

    /// Returns the number of a current name.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.table.find(name)
    }

    /// Returns the name with this number, current or not.
    pub(crate) fn text(&self, number: usize) -> Option<&str> {
        self.table.text(number)
    }

    /// Returns whether new requests can refer to this number.
    pub(crate) fn is_current(&self, number: usize) -> bool {
        self.current.get(number).is_some_and(|current| *current)
    }

    /// Returns all names, in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &str> {
        self.table.iter()
    }
}
