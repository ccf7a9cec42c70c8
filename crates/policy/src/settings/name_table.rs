//! Tables of names: a name's number is found in constant time.

use hashbrown::HashTable;
use std::hash::{BuildHasher, RandomState};

/// Names in the order of their numbers, with an index by name.
///
/// All texts lie in one allocation, so that a table of tens of thousands of names is cloned and dropped at
/// once. The index is keyed at random, as names in requests come from strangers; nothing iterates over it,
/// so that no decision depends on its order.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameTable {
    texts: String,
    /// The end of each name in `texts`: it begins where the one before ends.
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

    /// The name of that number, if it was assigned.
    pub(crate) fn text(&self, number: usize) -> Option<&str> {
        text_at(&self.texts, &self.ends, number)
    }

    /// The number of that name. Allocates nothing.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        let same = |number: &u32| self.text(*number as usize) == Some(name);
        let found = self.index.find(self.hasher.hash_one(name), same);
        found.map(|number| *number as usize)
    }

    /// Assigns the next number to a name that cannot be found.
    pub(crate) fn push_hidden(&mut self, name: &str) -> usize {
        self.texts.push_str(name);
        self.ends.push(self.texts.len());
        self.ends.len() - 1
    }

    /// Assigns the next number to a name; `None` where the name has one already.
    pub(crate) fn push(&mut self, name: &str) -> Option<usize> {
        if self.find(name).is_some() {
            return None;
        }
        let number = self.push_hidden(name);
        // Borrowed one by one, as the index is changed meanwhile.
        let texts = &self.texts;
        let ends = &self.ends;
        let hasher = &self.hasher;
        let rehash =
            |number: &u32| hasher.hash_one(text_at(texts, ends, *number as usize).unwrap_or_default());
        self.index.insert_unique(hasher.hash_one(name), number as u32, rehash);
        Some(number)
    }

    /// The number of the name, assigned here where it is new.
    pub(crate) fn number(&mut self, name: &str) -> u32 {
        let number = self.find(name).or_else(|| self.push(name));
        number.unwrap_or_default() as u32
    }

    /// How many numbers were assigned.
    pub(crate) fn len(&self) -> usize {
        self.ends.len()
    }

    /// All names, in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).filter_map(|number| self.text(number))
    }
}

/// The name of that number, if it was assigned.
fn text_at<'a>(texts: &'a str, ends: &[usize], number: usize) -> Option<&'a str> {
    let end = *ends.get(number)?;
    let begin = match number.checked_sub(1) {
        Some(previous) => *ends.get(previous)?,
        None => 0,
    };
    texts.get(begin..end)
}

/// Names that settings declare: each keeps its number when later settings leave it out, but cannot be found
/// any more.
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

    /// Assigns the next number to a current name; `false` where another current one has that name.
    pub(crate) fn push(&mut self, name: &str) -> bool {
        let new = self.table.push(name).is_some();
        self.current.extend(new.then_some(true));
        new
    }

    /// Assigns the next number to a name that was left out.
    pub(crate) fn push_retired(&mut self, name: &str) {
        self.table.push_hidden(name);
        self.current.push(false);
    }

    /// The number of a current name.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.table.find(name)
    }

    /// The name of that number, current or not.
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
