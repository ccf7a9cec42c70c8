//! A version that is built beside the document held, a bounded number of entries at a time.
//!
//! Until its checksum over the whole holds and the settings that come of it are found sound, the document held is not
//! touched. From then on nothing can fail, and the entries go into the document held, again in slices.

use crate::checksum::Checksum;
use crate::delta::{Delta, Entry, FullDocument};
use crate::document::{check_entry, check_key, check_size, to_settings, Document, DocumentError, Key};
use crate::version::Version;
use serde_json::Value;
use std::collections::btree_map;
use std::collections::BTreeMap;
use std::iter::Peekable;
use thiserror::Error;

/// Why a version cannot be built upon the document held.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StagingError {
    /// An entry is told twice, or both changed and removed.
    #[error("{0}: told twice")]
    DuplicateEntry(Key),
    /// An entry is removed that is not there.
    #[error("{0}: removed, and not there")]
    MissingEntry(Key),
    /// An entry, or all together, are beyond what a document holds.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The whole that came of it is another than the source's.
    #[error("checksum over the whole: expected {expected}, got {got}")]
    ChecksumMismatch {
        /// The source's.
        expected: Checksum,
        /// Of what came of it here.
        got: Checksum,
    },
}

/// How far a version is built.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More slices are to come.
    More,
    /// All entries are in.
    Done,
}

/// A version on its way to be held.
#[derive(Clone, Debug)]
pub struct StagedUpdate {
    target: Version,
    expected: Checksum,
    parts: Parts,
}

#[derive(Clone, Debug)]
enum Parts {
    /// Laid over the document held; `None` takes an entry out.
    Eviction { waiting: std::vec::IntoIter<NextStep>, overlay: Overlay, size: Size, checksum: Checksum },
    /// In place of the document held.
    Anew { waiting: std::vec::IntoIter<Entry>, document: Document },
}

type NextStep = (Key, Option<Box<str>>);
type Overlay = BTreeMap<Key, Option<Box<str>>>;

/// Entries and bytes of the document that is to come.
#[derive(Clone, Copy, Debug, Default)]
struct Size {
    entries: usize,
    bytes: usize,
}

impl StagedUpdate {
    /// A delta for the document held.
    pub fn from_delta(delta: Delta, held: &Document) -> StagedUpdate {
        let Delta { to, changed, removed, checksum, .. } = delta;
        let mut steps: Vec<NextStep> = removed.into_iter().map(|key| (key, None)).collect();
        steps.extend(changed.into_iter().map(|entry| (entry.key, Some(entry.value))));
        let parts = Parts::Eviction {
            waiting: steps.into_iter(),
            overlay: Overlay::new(),
            size: Size { entries: held.len(), bytes: held.bytes() },
            checksum: held.checksum(),
        };
        StagedUpdate { target: to, expected: checksum, parts }
    }

    /// A whole document.
    pub fn from_full_document(whole: FullDocument) -> StagedUpdate {
        let parts = Parts::Anew { waiting: whole.entries.into_iter(), document: Document::default() };
        StagedUpdate { target: whole.version, expected: whole.checksum, parts }
    }

    /// The version that it is.
    pub fn target(&self) -> Version {
        self.target
    }

    /// It is a whole document.
    pub fn is_full_document(&self) -> bool {
        matches!(self.parts, Parts::Anew { .. })
    }

    /// Takes in `most` more entries at most; with the last one the checksum over the whole is compared.
    ///
    /// # Errors
    /// What is wrong with the version; nothing of it may be used then.
    pub fn verify(&mut self, held: &Document, most: usize) -> Result<Progress, StagingError> {
        let got = match &mut self.parts {
            Parts::Eviction { waiting, overlay, size, checksum } => {
                for (key, value) in waiting.by_ref().take(most) {
                    lay(held, overlay, size, checksum, key, value)?;
                }
                if !waiting.as_slice().is_empty() {
                    return Ok(Progress::More);
                }
                check_size(size.entries, size.bytes)?;
                *checksum
            }
            Parts::Anew { waiting, document } => {
                for Entry { key, value } in waiting.by_ref().take(most) {
                    check_entry(&key, &value)?;
                    if document.get(&key).is_some() {
                        return Err(StagingError::DuplicateEntry(key));
                    }
                    document.set(key, value);
                    check_size(document.len(), document.bytes())?;
                }
                if !waiting.as_slice().is_empty() {
                    return Ok(Progress::More);
                }
                document.checksum()
            }
        };
        let got = got.of_version(self.target);
        if got != self.expected {
            return Err(StagingError::ChecksumMismatch { expected: self.expected, got });
        }
        Ok(Progress::Done)
    }

    /// Puts `most` more entries at most into the document held. Only after all were verified.
    pub fn commit(&mut self, held: &mut Document, most: usize) -> Progress {
        match &mut self.parts {
            Parts::Eviction { overlay, .. } => {
                for _ in 0..most {
                    let Some((key, value)) = overlay.pop_first() else { return Progress::Done };
                    match value {
                        Some(value) => held.set(key, value),
                        None => held.remove(&key),
                    };
                }
                match overlay.is_empty() {
                    true => Progress::Done,
                    false => Progress::More,
                }
            }
            Parts::Anew { document, .. } => {
                *held = std::mem::take(document);
                Progress::Done
            }
        }
    }

    /// The document as it will be. Only after all was verified, and before any of it is committed.
    pub fn candidate<'a>(&'a self, held: &'a Document) -> Candidate<'a> {
        Candidate { held, staged: self }
    }
}

/// Lays one step over the document held; size and checksum follow.
fn lay(
    held: &Document, overlay: &mut Overlay, size: &mut Size, checksum: &mut Checksum, key: Key,
    value: Option<Box<str>>,
) -> Result<(), StagingError> {
    check_key(&key)?;
    if overlay.contains_key(&key) {
        return Err(StagingError::DuplicateEntry(key));
    }
    match held.get(&key) {
        Some(old) => {
            checksum.subtract(&key, old);
            size.entries -= 1;
            size.bytes -= key.name.len() + old.len();
        }
        None if value.is_none() => return Err(StagingError::MissingEntry(key)),
        None => {}
    }
    if let Some(value) = &value {
        check_entry(&key, value)?;
        checksum.add(&key, value);
        size.entries += 1;
        size.bytes += key.name.len() + value.len();
    }
    overlay.insert(key, value);
    Ok(())
}

/// A version whose checksum holds, before it is in force.
pub struct Candidate<'a> {
    held: &'a Document,
    staged: &'a StagedUpdate,
}

impl Candidate<'_> {
    /// The version that it is.
    pub fn version(&self) -> Version {
        self.staged.target
    }

    /// The settings object that it stands for.
    ///
    /// # Errors
    /// The first entry that cannot be read.
    pub fn to_settings(&self) -> Result<Value, DocumentError> {
        match &self.staged.parts {
            Parts::Anew { document, .. } => to_settings(document.iter()),
            Parts::Eviction { overlay, .. } => to_settings(Merged {
                under: &mut self.held.iter().peekable(),
                over: overlay.iter().peekable(),
            }),
        }
    }
}

/// The entries held with others laid over them, in their canonical order.
struct Merged<'a, 'i, I: Iterator<Item = (&'a Key, &'a str)>> {
    under: &'i mut Peekable<I>,
    over: Peekable<btree_map::Iter<'a, Key, Option<Box<str>>>>,
}

impl<'a, I: Iterator<Item = (&'a Key, &'a str)>> Iterator for Merged<'a, '_, I> {
    type Item = (&'a Key, &'a str);

    fn next(&mut self) -> Option<(&'a Key, &'a str)> {
        loop {
            let Some((key, value)) = self.over.peek().copied() else { return self.under.next() };
            if self.under.peek().is_some_and(|(under, _)| *under < key) {
                return self.under.next();
            }
            self.over.next();
            self.under.next_if(|(under, _)| *under == key);
            if let Some(value) = value {
                return Some((key, value));
            }
        }
    }
}
