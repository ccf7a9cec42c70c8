//! The publishing side: the source owns the document, publishes its versions and answers the polls of followers.

use crate::delta::{Delta, FullDocument};
use crate::document::{to_settings, Document, DocumentError};
use crate::encoding::encode;
use crate::entry::{Entry, Key};
use crate::history::{History, HistoryBounds, PreviousValues};
use crate::invalid_settings::InvalidSettings;
use crate::message::Message;
use crate::poll::Poll;
use crate::staging::{Progress, StagedUpdate, StagingError};
use crate::version::Version;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// A published version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The version.
    pub version: Version,
    /// Number of entries that are new or have a different value.
    pub changed: usize,
    /// Number of removed entries.
    pub removed: usize,
}

/// The reason why a version was not published; the latest version stays the same.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// A document cannot hold the settings.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The changes cannot be applied to the document.
    #[error(transparent)]
    Staging(#[from] StagingError),
    /// The check rejects the settings.
    #[error("invalid settings: {0}")]
    InvalidSettings(#[from] InvalidSettings),
    /// There is no difference from the latest version.
    #[error("no changes to publish")]
    NoChange,
    /// The history does not reach back to the version to be restored.
    #[error("version {0} is not kept")]
    VersionNotRetained(Version),
}

/// The source's answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceAnswer {
    /// Send this text of a message now.
    Now(Arc<str>),
    /// Hold the poll until a later version is published; when the wait ends, answer with
    /// [`Source::unchanged_message`].
    Later,
}

/// The owner of the document and its versions.
#[derive(Debug)]
pub struct Source {
    version: Version,
    document: Document,
    history: History,
    /// Texts of answers that lead to the latest version, by the version of the follower.
    cached_answers: BTreeMap<Option<Version>, Arc<str>>,
}

/// Maximum number of cached answers. Most followers have the same version, and the others one of a few earlier versions.
const MAX_CACHED_ANSWERS: usize = 16;
/// Slice size with which the source verifies and commits its own changes at once.
const ALL_ENTRIES: usize = usize::MAX;

impl Source {
    /// Starts an epoch with these settings as its first version. `check` should be the same check that followers run.
    ///
    /// # Errors
    /// Returns an error if a document cannot hold the settings, or if `check` rejects them.
    pub fn new(
        epoch: u64, settings: &Value, bounds: HistoryBounds,
        check: impl FnOnce(&Value) -> Result<(), InvalidSettings>,
    ) -> Result<Source, PublishError> {
        let document = Document::from_settings(settings)?;
        check(&to_settings(document.iter())?)?;
        Ok(Source {
            version: Version::first(epoch),
            document,
            history: History::new(bounds),
            cached_answers: BTreeMap::new(),
        })
    }

    /// Returns the latest version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the document of the latest version.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the values that recent versions replaced.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Publishes these settings as the next version.
    ///
    /// # Errors
    /// Returns an error if the settings are not valid, or if they do not differ from the latest version.
    pub fn publish(
        &mut self, settings: &Value, check: impl FnOnce(&Value) -> Result<(), InvalidSettings>,
    ) -> Result<Publication, PublishError> {
        let new = Document::from_settings(settings)?;
        let mut changed = new.entries();
        changed.retain(|entry| self.document.get(&entry.key) != Some(&*entry.value));
        let removed = self.document.iter().map(|(key, _)| key).filter(|key| new.get(key).is_none());
        self.publish_changes(changed, removed.cloned().collect(), check)
    }

    /// Publishes changes of individual entries as the next version.
    ///
    /// # Errors
    /// Returns an error if the changes or the resulting settings are not valid, or if there are no changes.
    pub fn publish_changes(
        &mut self, changed: Vec<Entry>, removed: Vec<Key>,
        check: impl FnOnce(&Value) -> Result<(), InvalidSettings>,
    ) -> Result<Publication, PublishError> {
        if changed.is_empty() && removed.is_empty() {
            return Err(PublishError::NoChange);
        }
        let mut previous = PreviousValues::new();
        for key in changed.iter().map(|entry| &entry.key).chain(&removed) {
            previous.insert(key.clone(), self.document.get(key).map(Box::from));
        }
        let version = self.version.next();
        let publication = Publication { version, changed: changed.len(), removed: removed.len() };
        let mut staged = self.stage(version, changed, removed)?;
        let settings = staged.candidate(&self.document).to_settings()?;
        check(&settings)?;
        while staged.commit(&mut self.document, ALL_ENTRIES) == Progress::More {}
        self.version = version;
        self.history.push(previous);
        self.cached_answers.clear();
        Ok(publication)
    }

    /// Stages and verifies changes of the document.
    fn stage(
        &self, to: Version, changed: Vec<Entry>, removed: Vec<Key>,
    ) -> Result<StagedUpdate, PublishError> {
        let mut checksum = self.document.checksum();
        for key in removed.iter().chain(changed.iter().map(|entry| &entry.key)) {
            if let Some(previous) = self.document.get(key) {
                checksum.subtract(key, previous);
            }
        }
        for entry in &changed {
            checksum.add(&entry.key, &entry.value);
        }
        let checksum = checksum.with_version(to);
        let delta = Delta { from: self.version, to, changed, removed, checksum };
        let mut staged = StagedUpdate::from_delta(delta, &self.document);
        staged.verify(&self.document, ALL_ENTRIES)?;
        Ok(staged)
    }

    /// Reverts all changes after `version` by publishing a new version with the same entries as `version`.
    ///
    /// # Errors
    /// Returns an error if the history does not reach back to `version`, if its settings are no longer valid, or if
    /// they do not differ from the latest version.
    pub fn revert_to(
        &mut self, version: Version, check: impl FnOnce(&Value) -> Result<(), InvalidSettings>,
    ) -> Result<Publication, PublishError> {
        let previous = self.values_at(version).ok_or(PublishError::VersionNotRetained(version))?;
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for (key, value) in previous {
            match (self.document.get(&key), value) {
                (present, Some(value)) if present != Some(&*value) => changed.push(Entry { key, value }),
                (Some(_), None) => removed.push(key),
                _ => {}
            }
        }
        self.publish_changes(changed, removed, check)
    }

    /// Returns the values at `version` of all entries changed since; `None` if the history does not reach back to it.
    fn values_at(&self, version: Version) -> Option<PreviousValues> {
        if version.epoch != self.version.epoch {
            return None;
        }
        self.history.previous_values(self.version.number.checked_sub(version.number)?)
    }

    /// Returns the answer to a poll.
    pub fn answer_poll(&mut self, poll: &Poll) -> SourceAnswer {
        let latest = self.version;
        let known = poll.after.max(poll.rejected_version);
        match known {
            // The follower knows a later version, so this source was rolled back. The answer lets the follower report
            // that.
            Some(known) if known > latest => SourceAnswer::Now(self.unchanged_message()),
            Some(known) if known == latest => SourceAnswer::Later,
            _ => SourceAnswer::Now(self.update_message(poll.after)),
        }
    }

    /// Returns the answer to a poll whose wait has ended.
    pub fn unchanged_message(&self) -> Arc<str> {
        encode(&Message::Unchanged(self.version)).into()
    }

    /// Returns the message that updates a follower from `after` to the latest version, from the cache where possible.
    fn update_message(&mut self, after: Option<Version>) -> Arc<str> {
        if let Some(text) = self.cached_answers.get(&after) {
            return text.clone();
        }
        let text: Arc<str> = match after.and_then(|after| self.delta(after)) {
            Some(delta) => encode(&Message::Delta(delta)).into(),
            None if after.is_some() => self.update_message(None),
            None => encode(&Message::FullDocument(self.full_document())).into(),
        };
        if self.cached_answers.len() >= MAX_CACHED_ANSWERS {
            self.cached_answers.pop_last();
        }
        self.cached_answers.insert(after, text.clone());
        text
    }

    /// Returns the changes from `after` to the latest version; `None` if the history does not reach back to `after`, or
    /// if the changes are not smaller than the full document.
    pub fn delta(&self, after: Version) -> Option<Delta> {
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        let mut bytes = 0;
        for (key, value) in self.values_at(after)? {
            bytes += key.name.len();
            match (self.document.get(&key), value) {
                (Some(present), value) if value.as_deref() != Some(present) => {
                    bytes += present.len();
                    changed.push(Entry { key, value: present.into() });
                }
                (None, Some(_)) => removed.push(key),
                _ => {}
            }
        }
        let checksum = self.document.checksum().with_version(self.version);
        let delta = Delta { from: after, to: self.version, changed, removed, checksum };
        (bytes < self.document.bytes()).then_some(delta)
    }

    /// Returns all entries of the latest version.
    pub fn full_document(&self) -> FullDocument {
        FullDocument {
            version: self.version,
            entries: self.document.entries(),
            checksum: self.document.checksum().with_version(self.version),
        }
    }
}
