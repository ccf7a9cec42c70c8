//! Builds a version without modifying the document in force, a bounded number of entries at a time.
//!
//! The document in force stays unchanged until the checksum over the new document matches and its settings are valid.
//! After that no step can fail: the changes are moved into the document in force in slices, or a full document replaces
//! it in one step.

mod error;
mod overlay;

use crate::checksum::Checksum;
use crate::delta::{Delta, FullDocument};
use crate::document::{check_entry, check_size, to_settings, Document, DocumentError};
use crate::entry::Entry;
use crate::version::Version;
use overlay::{Change, Overlay};
use serde_json::Value;

pub use error::StagingError;

/// Whether verifying or committing a version is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Entries remain to be processed.
    More,
    /// All entries are processed.
    Done,
}

/// A version that is being verified or committed.
#[derive(Clone, Debug)]
pub struct StagedUpdate {
    target: Version,
    expected: Checksum,
    content: Content,
}

#[derive(Clone, Debug)]
enum Content {
    /// Changes to the document in force.
    Delta { pending: std::vec::IntoIter<Change>, overlay: Overlay },
    /// A full document that replaces the document in force.
    FullDocument { pending: std::vec::IntoIter<Entry>, document: Document },
}

impl StagedUpdate {
    /// Stages a delta for `base`, the document in force.
    pub fn from_delta(delta: Delta, base: &Document) -> StagedUpdate {
        let removed = delta.removed.into_iter().map(|key| Change { key, value: None });
        let mut changes: Vec<Change> = removed.collect();
        changes
            .extend(delta.changed.into_iter().map(|Entry { key, value }| Change { key, value: Some(value) }));
        StagedUpdate {
            target: delta.to,
            expected: delta.checksum,
            content: Content::Delta { pending: changes.into_iter(), overlay: Overlay::new(base) },
        }
    }

    /// Stages a full document.
    pub fn from_full_document(full: FullDocument) -> StagedUpdate {
        let pending = full.entries.into_iter();
        StagedUpdate {
            target: full.version,
            expected: full.checksum,
            content: Content::FullDocument { pending, document: Document::default() },
        }
    }

    /// Returns the staged version.
    pub fn target(&self) -> Version {
        self.target
    }

    /// Returns whether the version is a full document.
    pub fn is_full_document(&self) -> bool {
        matches!(self.content, Content::FullDocument { .. })
    }

    /// Verifies up to `max_entries` more entries, and compares the checksum over the document after the last one.
    ///
    /// # Errors
    /// Returns the first error found in the version, which must not be committed then.
    pub fn verify(&mut self, base: &Document, max_entries: usize) -> Result<Progress, StagingError> {
        let verified = match &mut self.content {
            Content::Delta { pending, overlay } => verify_changes(pending, overlay, base, max_entries)?,
            Content::FullDocument { pending, document } => verify_entries(pending, document, max_entries)?,
        };
        let Some(checksum) = verified else { return Ok(Progress::More) };
        let got = checksum.with_version(self.target);
        if got != self.expected {
            return Err(StagingError::ChecksumMismatch { expected: self.expected, got });
        }
        Ok(Progress::Done)
    }

    /// Moves up to `max_entries` more changes into the document in force, or replaces it by a full document. May only
    /// be called after all entries were verified.
    pub fn commit(&mut self, base: &mut Document, max_entries: usize) -> Progress {
        let is_done = match &mut self.content {
            Content::Delta { overlay, .. } => overlay.commit(base, max_entries),
            Content::FullDocument { document, .. } => {
                *base = std::mem::take(document);
                true
            }
        };
        if is_done {
            Progress::Done
        } else {
            Progress::More
        }
    }

    /// Returns the resulting document. May only be called after all entries were verified and before any is committed.
    pub fn candidate<'a>(&'a self, base: &'a Document) -> Candidate<'a> {
        Candidate { base, staged: self }
    }
}

/// Verifies up to `max_changes` more changes; returns the checksum after the last one, or `None` if changes remain.
fn verify_changes(
    pending: &mut std::vec::IntoIter<Change>, overlay: &mut Overlay, base: &Document, max_changes: usize,
) -> Result<Option<Checksum>, StagingError> {
    for change in pending.by_ref().take(max_changes) {
        overlay.add(base, change)?;
    }
    if !pending.as_slice().is_empty() {
        return Ok(None);
    }
    overlay.check_size()?;
    Ok(Some(overlay.checksum()))
}

/// Verifies up to `max_entries` more entries; returns the checksum after the last one, or `None` if entries remain.
fn verify_entries(
    pending: &mut std::vec::IntoIter<Entry>, document: &mut Document, max_entries: usize,
) -> Result<Option<Checksum>, StagingError> {
    for Entry { key, value } in pending.by_ref().take(max_entries) {
        check_entry(&key, &value)?;
        if document.get(&key).is_some() {
            return Err(StagingError::DuplicateEntry(key));
        }
        document.set(key, value);
        check_size(document.len(), document.bytes())?;
    }
    if !pending.as_slice().is_empty() {
        return Ok(None);
    }
    Ok(Some(document.checksum()))
}

/// A verified version that is not yet in force.
pub struct Candidate<'a> {
    base: &'a Document,
    staged: &'a StagedUpdate,
}

impl Candidate<'_> {
    /// Returns the version of the candidate.
    pub fn version(&self) -> Version {
        self.staged.target
    }

    /// Builds the candidate's settings object.
    ///
    /// # Errors
    /// Returns the first entry whose value is not valid.
    pub fn to_settings(&self) -> Result<Value, DocumentError> {
        match &self.staged.content {
            Content::Delta { overlay, .. } => to_settings(overlay.merged(self.base)),
            Content::FullDocument { document, .. } => to_settings(document.iter()),
        }
    }
}
