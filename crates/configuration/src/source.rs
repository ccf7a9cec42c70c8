//! The publishing side: the one owner of the document, its versions, and the answers to followers.

use crate::delta::{Delta, Entry, FullDocument};
use crate::document::{to_settings, Document, DocumentError, Key};
use crate::follower::Poll;
use crate::history::{History, HistoryBounds, PreviousValues};
use crate::invalid_settings::InvalidSettings;
use crate::message::{encode, Message};
use crate::staging::{Progress, StagedUpdate, StagingError};
use crate::version::Version;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// What a version changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The version that came of it.
    pub version: Version,
    /// Entries new or with another value.
    pub changed: usize,
    /// Entries left out.
    pub removed: usize,
}

/// Why nothing was published; the version before stays the latest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// The settings are none that a document can hold.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The changes do not fit the document.
    #[error(transparent)]
    Staging(#[from] StagingError),
    /// The settings are unsound, as the check tells.
    #[error("invalid settings: {0}")]
    InvalidSettings(#[from] InvalidSettings),
    /// Nothing differs from the latest version.
    #[error("nothing changes")]
    NoChange,
    /// A version that is to be restored is no longer kept.
    #[error("version {0} is not kept")]
    VersionNotRetained(Version),
}

/// What a question gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceAnswer {
    /// At once.
    Now(Arc<str>),
    /// When there is something later, or with `unchanged` when its wait is over.
    Later,
}

/// The document's owner.
#[derive(Debug)]
pub struct Source {
    version: Version,
    document: Document,
    history: History,
    /// Texts of answers that several followers get alike, by what they were asked after; of the latest version only.
    texts: BTreeMap<Option<Version>, Arc<str>>,
}

/// Texts kept at a time: followers that missed nothing ask after one version, those that missed some after few others.
const MOST_TEXTS: usize = 16;
/// Entries that are verified or committed in one go here: the source's owner bounds the document.
const ALL: usize = usize::MAX;

impl Source {
    /// Begins an epoch with this document as its first version. `check` is the one that followers make.
    ///
    /// # Errors
    /// What is wrong with the settings.
    pub fn new(
        epoch: u64, settings: &Value, bounds: HistoryBounds,
        check: impl FnOnce(&Value) -> Result<(), InvalidSettings>,
    ) -> Result<Source, PublishError> {
        let document = Document::from_settings(settings)?;
        check(&to_settings(document.iter())?)?;
        let version = Version::first(epoch);
        Ok(Source { version, document, history: History::new(bounds), texts: BTreeMap::new() })
    }

    /// The latest version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Its document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// What is kept of the versions before.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Publishes these settings as the next version.
    ///
    /// # Errors
    /// What is wrong with them, or that nothing changes.
    pub fn publish(
        &mut self, settings: &Value, check: impl FnOnce(&Value) -> Result<(), InvalidSettings>,
    ) -> Result<Publication, PublishError> {
        let new = Document::from_settings(settings)?;
        let differs = |key: &Key, value: &str| self.document.get(key) != Some(value);
        let changed = new.entries().into_iter().filter(|entry| differs(&entry.key, &entry.value)).collect();
        let removed = self.document.iter().map(|(key, _)| key).filter(|key| new.get(key).is_none());
        self.publish_changes(changed, removed.cloned().collect(), check)
    }

    /// Publishes changes of single entries as the next version.
    ///
    /// # Errors
    /// What is wrong with them, or that nothing changes.
    pub fn publish_changes(
        &mut self, changed: Vec<Entry>, removed: Vec<Key>,
        check: impl FnOnce(&Value) -> Result<(), InvalidSettings>,
    ) -> Result<Publication, PublishError> {
        if changed.is_empty() && removed.is_empty() {
            return Err(PublishError::NoChange);
        }
        let mut former = PreviousValues::new();
        for key in changed.iter().map(|entry| &entry.key).chain(&removed) {
            former.insert(key.clone(), self.document.get(key).map(Box::from));
        }
        let version = self.version.next();
        let publication = Publication { version, changed: changed.len(), removed: removed.len() };
        let mut staged = self.stage(version, changed, removed)?;
        let settings = staged.candidate(&self.document).to_settings()?;
        check(&settings)?;
        while staged.commit(&mut self.document, ALL) == Progress::More {}
        self.version = version;
        self.history.push(former);
        self.texts.clear();
        Ok(publication)
    }

    /// The changes over the document, verified.
    fn stage(
        &self, to: Version, changed: Vec<Entry>, removed: Vec<Key>,
    ) -> Result<StagedUpdate, PublishError> {
        let mut checksum = self.document.checksum();
        for (key, value) in removed.iter().map(|key| (key, None)).chain(changed.iter().map(Entry::parts)) {
            if let Some(old) = self.document.get(key) {
                checksum.subtract(key, old);
            }
            if let Some(value) = value {
                checksum.add(key, value);
            }
        }
        let checksum = checksum.of_version(to);
        let delta = Delta { from: self.version, to, changed, removed, checksum };
        let mut staged = StagedUpdate::from_delta(delta, &self.document);
        staged.verify(&self.document, ALL)?;
        Ok(staged)
    }

    /// Takes back all that came after `version`, by a new version with the entries as they stood then.
    ///
    /// # Errors
    /// That version is no longer kept, or its settings are unsound by now.
    pub fn revert_to(
        &mut self, version: Version, check: impl FnOnce(&Value) -> Result<(), InvalidSettings>,
    ) -> Result<Publication, PublishError> {
        let former = self.former(version).ok_or(PublishError::VersionNotRetained(version))?;
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for (key, value) in former {
            match (self.document.get(&key), value) {
                (now, Some(value)) if now != Some(&*value) => changed.push(Entry { key, value }),
                (Some(_), None) => removed.push(key),
                _ => {}
            }
        }
        self.publish_changes(changed, removed, check)
    }

    fn former(&self, version: Version) -> Option<PreviousValues> {
        if version.epoch != self.version.epoch {
            return None;
        }
        self.history.previous_values(self.version.number.checked_sub(version.number)?)
    }

    /// What a question gets; see [`Poll`].
    pub fn answer_poll(&mut self, ask: &Poll) -> SourceAnswer {
        let latest = self.version;
        let known = ask.after.max(ask.rejected_version);
        match known {
            // A follower knows a later version: this source has gone back, which is theirs to tell.
            Some(known) if known > latest => SourceAnswer::Now(self.unchanged_message()),
            Some(known) if known == latest => SourceAnswer::Later,
            _ => SourceAnswer::Now(self.text(ask.after)),
        }
    }

    /// The answer to a question whose wait is over.
    pub fn unchanged_message(&self) -> Arc<str> {
        encode(&Message::Unchanged(self.version)).into()
    }

    fn text(&mut self, after: Option<Version>) -> Arc<str> {
        if let Some(text) = self.texts.get(&after) {
            return text.clone();
        }
        let text: Arc<str> = match after.and_then(|after| self.delta(after)) {
            Some(delta) => encode(&Message::Delta(delta)).into(),
            None if after.is_some() => self.text(None),
            None => encode(&Message::FullDocument(self.full_document())).into(),
        };
        if self.texts.len() >= MOST_TEXTS {
            self.texts.pop_last();
        }
        self.texts.insert(after, text.clone());
        text
    }

    /// The change from `after` to the latest version; `None` where that is not kept, or larger than the whole.
    pub fn delta(&self, after: Version) -> Option<Delta> {
        let former = self.former(after)?;
        let (mut changed, mut removed, mut bytes) = (Vec::new(), Vec::new(), 0);
        for (key, value) in former {
            bytes += key.name.len();
            match (self.document.get(&key), value) {
                (Some(now), value) if value.as_deref() != Some(now) => {
                    bytes += now.len();
                    changed.push(Entry { key, value: now.into() });
                }
                (None, Some(_)) => removed.push(key),
                _ => {}
            }
        }
        let checksum = self.document.checksum().of_version(self.version);
        let delta = Delta { from: after, to: self.version, changed, removed, checksum };
        (bytes < self.document.bytes()).then_some(delta)
    }

    /// All of the latest version.
    pub fn full_document(&self) -> FullDocument {
        let entries = self.document.entries();
        let checksum = self.document.checksum().of_version(self.version);
        FullDocument { version: self.version, entries, checksum }
    }
}

impl Entry {
    fn parts(&self) -> (&Key, Option<&str>) {
        (&self.key, Some(&self.value))
    }
}
