//! A proxy that follows a source: what it asks for and when, and what it does with each answer.
//!
//! The driver calls [`Follower::poll`] and does what it says: asks, rests, reads the candidate's settings, or puts
//! them in force. One question is out at a time, and what comes without a question is dropped. The version held
//! never goes back: an answer that is not built upon it, whose checksum over the whole does not hold, or whose settings
//! are unsound is refused with its reason, and the last sound version stays in force for as long as it takes.

use crate::backoff::Backoff;
use crate::delta::{Delta, FullDocument};
use crate::document::Document;
use crate::invalid_settings::InvalidSettings;
use crate::message::Message;
use crate::staging::{Candidate, Progress, StagedUpdate, StagingError};
use crate::version::Version;
use std::time::Duration;
use thiserror::Error;

/// How a follower asks, and how much it does at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerSettings {
    /// The source may hold a question so long while it has nothing later.
    pub poll_wait: Duration,
    /// What an answer may take beyond that wait before the source counts as silent.
    pub poll_timeout: Duration,
    /// The first pause after a failure, and the longest.
    pub backoff: (Duration, Duration),
    /// A whole document that was refused is asked for again after such a pause: it is megabytes each time.
    pub full_refetch_after: Duration,
    /// Entries of a slice: at some 1 us each, a slice holds a loop for a quarter of a millisecond.
    pub entries_per_slice: usize,
}

impl Default for FollowerSettings {
    /// A connection that died unseen is noticed after 12 s at most, which leaves 8 s of the 20 s in which a change has
    /// to be in force for a pause, the answer and its reading (docs/configuration-distribution.md).
    fn default() -> FollowerSettings {
        FollowerSettings {
            poll_wait: Duration::from_secs(10),
            poll_timeout: Duration::from_secs(2),
            backoff: (Duration::from_millis(100), Duration::from_secs(2)),
            full_refetch_after: Duration::from_secs(30),
            entries_per_slice: 256,
        }
    }
}

/// A question to the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The version held, which deltas are to be built upon; `None` asks for the whole document.
    pub after: Option<Version>,
    /// A version that was refused here: only what is later than that is an answer.
    pub rejected_version: Option<Version>,
    /// The source may hold the question so long.
    pub wait: Duration,
}

/// Why no answer came.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// No connection, or it broke.
    #[error("no answer: {0}")]
    ConnectionFailed(String),
    /// The time for an answer is over.
    #[error("silent")]
    TimedOut,
    /// The source has no room for the question.
    #[error("the source is busy")]
    Busy,
    /// Something came that is no message.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

/// Why an answer was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// A delta for another version than the one held.
    #[error("a delta from version {from}, while {held} is held")]
    BaseMismatch {
        /// What is held.
        held: Version,
        /// What the delta changes.
        from: Version,
    },
    /// A delta, and nothing is held.
    #[error("a delta from version {0}, while none is held")]
    NoBase(Version),
    /// The source has gone back.
    #[error("the source is at version {offered}, which is before {held}")]
    VersionRollback {
        /// What is held, or was refused.
        held: Version,
        /// What the source is at.
        offered: Version,
    },
    /// Two documents of one version.
    #[error("version {0} is held with another content")]
    ContentConflict(Version),
    /// It cannot be built, or its checksum does not hold.
    #[error("version {version}: {error}")]
    Staging {
        /// What was to be built.
        version: Version,
        /// Why it was not.
        #[source]
        error: StagingError,
    },
    /// The settings that come of it are unsound.
    #[error("version {version}: {error}")]
    InvalidSettings {
        /// The version refused.
        version: Version,
        /// What is wrong with it.
        #[source]
        error: InvalidSettings,
    },
    /// The source repeats a version that was refused here.
    #[error("version {0} was refused already")]
    AlreadyRejected(Version),
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Put this question; its end is told by [`Follower::answered`] or [`Follower::failed`].
    Poll(Poll),
    /// Nothing before that time, or before an answer.
    Wait(Duration),
    /// Call again at once, or after something else had its turn: a slice is done, and more are to come.
    Continue,
    /// Read the [`Follower::candidate`] and tell what came of it by [`Follower::judged`].
    Validate,
    /// This version is held now: what was read of it comes into force.
    Applied(Version),
    /// Tell the operators.
    Rejected(Rejection),
    /// The question is given up; tell the operators.
    PollFailed(Failure),
}

/// How the document held stands to the source's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// Nothing is held yet.
    Empty,
    /// The source's latest, as far as the last answer tells.
    Current,
    /// The source has a later one that is refused here.
    Rejecting(Version),
    /// The source does not answer, or with what cannot be taken.
    Disconnected,
}

/// How a follower stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The version held.
    pub applied_version: Option<Version>,
    /// How it stands to the source's.
    pub sync_state: SyncState,
    /// At most so long ago the version held was the source's latest: since the question whose answer said so.
    pub age: Option<Duration>,
}

#[derive(Debug)]
enum Phase {
    Resting { until: Duration },
    Asked { at: Duration },
    Verifying(StagedUpdate),
    Judging(StagedUpdate),
    Committing(StagedUpdate),
}

/// The follower's state; times are spans since the process began.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    pace: Backoff,
    phase: Phase,
    applied_version: Option<Version>,
    document: Document,
    /// The latest version that was refused for its content.
    refused: Option<Version>,
    /// The next question is for the whole document.
    whole: bool,
    /// When the question was put whose answer is worked on.
    asked_at: Duration,
    /// When the question was put after which the version held was last known to be the latest.
    current_at: Option<Duration>,
    /// To be told by the next poll.
    told: Option<NextStep>,
}

impl Follower {
    /// Nothing is held; the first question is put at once. `seed` spreads its pauses: no other proxy's.
    pub fn new(settings: FollowerSettings, seed: u64) -> Follower {
        let (first, most) = settings.backoff;
        Follower {
            settings,
            pace: Backoff::new(first, most, seed),
            phase: Phase::Resting { until: Duration::ZERO },
            applied_version: None,
            document: Document::default(),
            refused: None,
            whole: true,
            asked_at: Duration::ZERO,
            current_at: None,
            told: None,
        }
    }

    /// The document held.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The version held.
    pub fn applied_version(&self) -> Option<Version> {
        self.applied_version
    }

    /// How it stands.
    pub fn status(&self, now: Duration) -> FollowerStatus {
        let standing = match (self.applied_version, self.refused) {
            _ if self.pace.failures() > 0 => SyncState::Disconnected,
            (held, Some(refused)) if held.is_none_or(|held| refused > held) => SyncState::Rejecting(refused),
            (None, _) => SyncState::Empty,
            (Some(_), _) => SyncState::Current,
        };
        let age = self.current_at.map(|at| now.saturating_sub(at));
        FollowerStatus { applied_version: self.applied_version, sync_state: standing, age }
    }

    /// Does one bounded piece of work and tells what comes next.
    pub fn next_step(&mut self, now: Duration) -> NextStep {
        if let Some(told) = self.told.take() {
            return told;
        }
        match std::mem::replace(&mut self.phase, Phase::Resting { until: now }) {
            Phase::Resting { until } if now < until => {
                self.phase = Phase::Resting { until };
                NextStep::Wait(until)
            }
            Phase::Resting { .. } => self.ask(now),
            Phase::Asked { at } => self.wait_for_answer(now, at),
            Phase::Verifying(staged) => self.verify(now, staged),
            Phase::Judging(staged) => {
                self.phase = Phase::Judging(staged);
                NextStep::Validate
            }
            Phase::Committing(staged) => self.commit(staged),
        }
    }

    fn ask(&mut self, now: Duration) -> NextStep {
        self.asked_at = now;
        self.phase = Phase::Asked { at: now };
        let after = self.applied_version.filter(|_| !self.whole);
        let past = self.refused.filter(|refused| self.applied_version.is_none_or(|held| *refused > held));
        NextStep::Poll(Poll { after, rejected_version: past, wait: self.settings.poll_wait })
    }

    fn wait_for_answer(&mut self, now: Duration, at: Duration) -> NextStep {
        let deadline = at + self.settings.poll_wait + self.settings.poll_timeout;
        if now < deadline {
            self.phase = Phase::Asked { at };
            return NextStep::Wait(deadline);
        }
        self.phase = Phase::Resting { until: now + self.pace.next_pause() };
        NextStep::PollFailed(Failure::TimedOut)
    }

    /// An answer has come; without a question that is out it is dropped.
    pub fn handle_message(&mut self, now: Duration, message: Message) {
        if !matches!(self.phase, Phase::Asked { .. }) {
            return;
        }
        self.phase = Phase::Resting { until: now };
        match message {
            Message::Unchanged(version) => self.unchanged(now, version),
            Message::Delta(delta) => self.offered_delta(now, delta),
            Message::FullDocument(whole) => self.offered_whole(now, whole),
        }
    }

    /// The question that is out has failed.
    pub fn poll_failed(&mut self, now: Duration, failure: Failure) {
        if matches!(self.phase, Phase::Asked { .. }) {
            self.phase = Phase::Resting { until: now + self.pace.next_pause() };
            self.told = Some(NextStep::PollFailed(failure));
        }
    }

    /// The question that is out is given up by the driver: the next is put at once.
    pub fn poll_abandoned(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Asked { .. }) {
            self.phase = Phase::Resting { until: now };
        }
    }

    fn unchanged(&mut self, now: Duration, version: Version) {
        let known = self.applied_version.max(self.refused);
        match known {
            Some(known) if version < known => {
                self.refuse(now, Rejection::VersionRollback { held: known, offered: version });
            }
            Some(known) if version == known => {
                self.pace.reset();
                if self.applied_version == Some(version) {
                    self.current_at = Some(self.asked_at);
                }
            }
            // It has something later and does not say what: the whole document tells.
            _ => {
                self.whole = true;
                self.phase = Phase::Resting { until: now + self.pace.next_pause() };
            }
        }
    }

    fn offered_delta(&mut self, now: Duration, delta: Delta) {
        match self.applied_version {
            None => self.refuse(now, Rejection::NoBase(delta.from)),
            Some(held) if held != delta.from => {
                self.whole |= delta.from.epoch != held.epoch || delta.to > held;
                self.refuse(now, Rejection::BaseMismatch { held, from: delta.from });
            }
            Some(held) if delta.to <= held || delta.to.epoch != held.epoch => {
                self.refuse(now, Rejection::VersionRollback { held, offered: delta.to });
            }
            Some(_) if self.refused.is_some_and(|refused| delta.to <= refused) => {
                self.refuse(now, Rejection::AlreadyRejected(delta.to));
            }
            Some(_) => self.phase = Phase::Verifying(StagedUpdate::from_delta(delta, &self.document)),
        }
    }

    fn offered_whole(&mut self, now: Duration, whole: FullDocument) {
        let offered = whole.version;
        match self.applied_version {
            Some(held) if offered < held => {
                self.whole = false;
                self.refuse(now, Rejection::VersionRollback { held, offered });
            }
            Some(held) if offered == held && whole.checksum == self.document.checksum().of_version(held) => {
                self.whole = false;
                self.current_at = Some(self.asked_at);
                self.pace.reset();
            }
            Some(held) if offered == held => {
                self.refuse(now, Rejection::ContentConflict(held));
                self.rest_before_whole(now);
            }
            _ if self.refused.is_some_and(|refused| offered <= refused) => {
                self.refuse(now, Rejection::AlreadyRejected(offered));
                self.rest_before_whole(now);
            }
            _ => self.phase = Phase::Verifying(StagedUpdate::from_full_document(whole)),
        }
    }

    fn refuse(&mut self, now: Duration, refusal: Rejection) {
        self.phase = Phase::Resting { until: now + self.pace.next_pause() };
        self.told = Some(NextStep::Rejected(refusal));
    }

    fn rest_before_whole(&mut self, now: Duration) {
        self.phase = Phase::Resting { until: now + self.pace.jitter(self.settings.full_refetch_after) };
    }

    fn verify(&mut self, now: Duration, mut staged: StagedUpdate) -> NextStep {
        match staged.verify(&self.document, self.settings.entries_per_slice) {
            Ok(Progress::More) => self.phase = Phase::Verifying(staged),
            Ok(Progress::Done) => self.phase = Phase::Judging(staged),
            Err(error) => {
                let version = staged.target();
                self.refuse(now, Rejection::Staging { version, error });
                if staged.is_full_document() {
                    self.rest_before_whole(now);
                }
                self.whole = true;
                return self.told.take().unwrap_or(NextStep::Continue);
            }
        }
        NextStep::Continue
    }

    /// The version that waits to be judged.
    pub fn candidate(&self) -> Option<Candidate<'_>> {
        match &self.phase {
            Phase::Judging(staged) => Some(staged.candidate(&self.document)),
            _ => None,
        }
    }

    /// Whether the candidate's settings are sound, and why not. Without a candidate nothing is done.
    pub fn candidate_validated(&mut self, now: Duration, verdict: Result<(), InvalidSettings>) {
        match (std::mem::replace(&mut self.phase, Phase::Resting { until: now }), verdict) {
            (Phase::Judging(staged), Ok(())) => self.phase = Phase::Committing(staged),
            (Phase::Judging(staged), Err(error)) => {
                let version = staged.target();
                self.refused = Some(version);
                // The source is in order, so that its next answer is waited for without a pause.
                self.pace.reset();
                self.told = Some(NextStep::Rejected(Rejection::InvalidSettings { version, error }));
            }
            (phase, _) => self.phase = phase,
        }
    }

    fn commit(&mut self, mut staged: StagedUpdate) -> NextStep {
        let version = staged.target();
        if staged.commit(&mut self.document, self.settings.entries_per_slice) == Progress::More {
            self.phase = Phase::Committing(staged);
            return NextStep::Continue;
        }
        self.applied_version = Some(version);
        self.whole = false;
        self.current_at = Some(self.asked_at);
        self.pace.reset();
        NextStep::Applied(version)
    }
}
