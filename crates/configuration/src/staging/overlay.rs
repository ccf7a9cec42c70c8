//! Changes to a document, stored separately so that the document itself stays unmodified.

use super::error::StagingError;
use crate::checksum::Checksum;
use crate::document::{check_entry, check_key, check_size, Document, DocumentError};
use crate::entry::Key;
use std::collections::{btree_map, BTreeMap};
use std::iter::Peekable;

/// The new value of an entry; `None` removes the entry.
pub(super) type NewValue = Option<Box<str>>;

/// A change of one entry.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) key: Key,
    pub(super) value: NewValue,
}

/// Changes to a document, and the size and checksum of the resulting document.
#[derive(Clone, Debug)]
pub(super) struct Overlay {
    changes: BTreeMap<Key, NewValue>,
    entries: usize,
    bytes: usize,
    checksum: Checksum,
}

impl Overlay {
    /// Creates an overlay without changes for `base`.
    pub(super) fn new(base: &Document) -> Overlay {
        Overlay {
            changes: BTreeMap::new(),
            entries: base.len(),
            bytes: base.bytes(),
            checksum: base.checksum(),
        }
    }

    /// Adds a change of an entry of `base`, which has to be the document for which the overlay was created.
    pub(super) fn add(&mut self, base: &Document, change: Change) -> Result<(), StagingError> {
        let Change { key, value } = change;
        check_key(&key)?;
        if self.changes.contains_key(&key) {
            return Err(StagingError::DuplicateEntry(key));
        }
        match base.get(&key) {
            Some(previous) => {
                self.checksum.subtract(&key, previous);
                self.entries -= 1;
                self.bytes -= key.name.len() + previous.len();
            }
            None if value.is_none() => return Err(StagingError::MissingEntry(key)),
            None => {}
        }
        if let Some(value) = &value {
            check_entry(&key, value)?;
            self.checksum.add(&key, value);
            self.entries += 1;
            self.bytes += key.name.len() + value.len();
        }
        self.changes.insert(key, value);
        Ok(())
    }

    /// Checks that the resulting document is not too large.
    pub(super) fn check_size(&self) -> Result<(), DocumentError> {
        check_size(self.entries, self.bytes)
    }

    /// Returns the checksum over all entries of the resulting document.
    pub(super) fn checksum(&self) -> Checksum {
        self.checksum
    }

    /// Moves up to `max_changes` changes into `base`; returns whether all changes have been moved.
    pub(super) fn commit(&mut self, base: &mut Document, max_changes: usize) -> bool {
        for _ in 0..max_changes {
            let Some((key, value)) = self.changes.pop_first() else { return true };
            match value {
                Some(value) => base.set(key, value),
                None => base.remove(&key),
            };
        }
        self.changes.is_empty()
    }

    /// Iterates over the entries of the resulting document in canonical order.
    pub(super) fn merged<'a>(&'a self, base: &'a Document) -> impl Iterator<Item = (&'a Key, &'a str)> {
        Merged { base: base.iter().peekable(), changes: self.changes.iter().peekable() }
    }
}

/// Merges two sorted sequences; a change replaces the base's entry with the same key.
struct Merged<'a, I: Iterator<Item = (&'a Key, &'a str)>> {
    base: Peekable<I>,
    changes: Peekable<btree_map::Iter<'a, Key, NewValue>>,
}

impl<'a, I: Iterator<Item = (&'a Key, &'a str)>> Iterator for Merged<'a, I> {
    type Item = (&'a Key, &'a str);

    fn next(&mut self) -> Option<(&'a Key, &'a str)> {
        loop {
            let Some((key, value)) = self.changes.peek().copied() else { return self.base.next() };
            if self.base.peek().is_some_and(|(base_key, _)| *base_key < key) {
                return self.base.next();
            }
            self.changes.next();
            self.base.next_if(|(base_key, _)| *base_key == key);
            if let Some(value) = value {
                return Some((key, value));
            }
        }
    }
}
