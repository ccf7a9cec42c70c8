//! Which number each name has when settings follow upon others.

use crate::names::Told;
use std::collections::HashMap;
use std::hash::Hash;

/// Where the new settings' entries stand among those of the old.
pub(crate) struct Places {
    /// The number of each new entry, in the order of the new settings.
    of_new: Vec<usize>,
    /// How many numbers there are then.
    len: usize,
}

impl Places {
    /// Each new entry has the number of the old one of the same identity, or the next one behind them all. Linear in
    /// both; the map is looked into only, as its order is random.
    pub fn new<K: Eq + Hash>(old: impl Iterator<Item = K>, new: impl Iterator<Item = K>) -> Places {
        let mut numbers = HashMap::new();
        let mut len = 0;
        for identity in old {
            numbers.entry(identity).or_insert(len);
            len += 1;
        }
        let mut of_new = Vec::with_capacity(new.size_hint().0);
        for identity in new {
            let number = numbers.get(&identity).copied().unwrap_or(len);
            len = len.max(number + 1);
            of_new.push(number);
        }
        Places { of_new, len }
    }

    /// What stands at each number: of `new` where it has an entry there, else as in `old`.
    pub fn merge<T>(&self, old: impl Iterator<Item = T>, new: impl Iterator<Item = T>) -> Vec<T> {
        let mut merged: Vec<Option<T>> = old.map(Some).collect();
        merged.resize_with(self.len, || None);
        for (number, entry) in self.of_new.iter().zip(new) {
            merged[*number] = Some(entry);
        }
        merged.into_iter().flatten().collect()
    }

    /// The names at each number; those that `new` has not are found no more.
    pub fn rename(&self, old: &Told, new: &Told) -> Told {
        let mut current = vec![false; self.len];
        self.of_new.iter().for_each(|number| current[*number] = true);
        let mut names = Told::with_capacity(self.len);
        for (name, current) in self.merge(old.iter(), new.iter()).into_iter().zip(current) {
            if current {
                names.push(name);
            } else {
                names.push_retired(name);
            }
        }
        names
    }
}
