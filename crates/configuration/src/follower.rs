//! The state machine of a proxy that follows a source: it decides when to poll, and verifies and applies the answers.
//!
//! The driver calls [`Follower::next_step`] and performs the returned step. At most one poll is open at a time, and an
//! answer without an open poll is dropped. The version in force never decreases: an answer that offers an earlier
//! version, does not apply to the version in force, has a wrong checksum or has invalid settings is rejected with the
//! reason, and the last valid version stays in force.

mod known_versions;
mod settings;
mod step;

use crate::backoff::Backoff;
use crate::delta::{Delta, FullDocument};
use crate::document::Document;
use crate::invalid_settings::InvalidSettings;
use crate::message::Message;
use crate::poll::Poll;
use crate::staging::{Candidate, Progress, StagedUpdate};
use crate::version::Version;
use known_versions::KnownVersions;
use std::time::Duration;

pub use settings::FollowerSettings;
pub use step::{Failure, FollowerStatus, NextStep, Rejection, SyncState};

/// What the follower is doing.
#[derive(Debug)]
enum Phase {
    /// No poll is open; the next one is sent at `until`.
    Idle { until: Duration },
    /// A poll has been open since `since`.
    Polling { since: Duration },
    /// The entries and the checksum of a received version are being verified.
    Verifying(StagedUpdate),
    /// The driver checks the settings of a verified version.
    Validating(StagedUpdate),
    /// A version with valid settings is being moved into the document in force.
    Committing(StagedUpdate),
}

/// The state machine of a follower; times are durations since the start of the process.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    backoff: Backoff,
    phase: Phase,
    versions: KnownVersions,
    document: Document,
    /// Whether the next poll requests the full document.
    needs_full_document: bool,
    /// Send time of the last poll.
    polled_at: Duration,
    /// Send time of the last poll whose answer delivered the version in force or confirmed it as the source's latest.
    current_at: Option<Duration>,
    /// A step that the next call of [`Follower::next_step`] returns.
    pending_step: Option<NextStep>,
}

impl Follower {
    /// Creates a follower without a version, which polls immediately. `seed` determines its random delays and has to
    /// differ between proxies.
    pub fn new(settings: FollowerSettings, seed: u64) -> Follower {
        Follower {
            settings,
            backoff: Backoff::new(settings.initial_backoff, settings.max_backoff, seed),
            phase: Phase::Idle { until: Duration::ZERO },
            versions: KnownVersions::default(),
            document: Document::default(),
            needs_full_document: true,
            polled_at: Duration::ZERO,
            current_at: None,
            pending_step: None,
        }
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the version in force.
    pub fn applied_version(&self) -> Option<Version> {
        self.versions.applied
    }

    /// Returns the follower's status at `now`.
    pub fn status(&self, now: Duration) -> FollowerStatus {
        FollowerStatus {
            applied_version: self.versions.applied,
            sync_state: self.sync_state(),
            age: self.current_at.map(|at| now.saturating_sub(at)),
        }
    }

    fn sync_state(&self) -> SyncState {
        if self.backoff.failures() > 0 {
            return SyncState::Disconnected;
        }
        if let Some(rejected) = self.versions.newer_rejected() {
            return SyncState::Rejecting(rejected);
        }
        match self.versions.applied {
            Some(_) => SyncState::Current,
            None => SyncState::Empty,
        }
    }

    /// Does a bounded amount of work and returns what the driver has to do next.
    pub fn next_step(&mut self, now: Duration) -> NextStep {
        if let Some(step) = self.pending_step.take() {
            return step;
        }
        match std::mem::replace(&mut self.phase, Phase::Idle { until: now }) {
            Phase::Idle { until } if now < until => {
                self.phase = Phase::Idle { until };
                NextStep::Wait(until)
            }
            Phase::Idle { .. } => self.start_poll(now),
            Phase::Polling { since } => self.wait_for_answer(now, since),
            Phase::Verifying(staged) => self.verify(now, staged),
            Phase::Validating(staged) => {
                self.phase = Phase::Validating(staged);
                NextStep::Validate
            }
            Phase::Committing(staged) => self.commit(staged),
        }
    }

    fn start_poll(&mut self, now: Duration) -> NextStep {
        self.polled_at = now;
        self.phase = Phase::Polling { since: now };
        NextStep::Poll(Poll {
            after: self.versions.applied.filter(|_| !self.needs_full_document),
            rejected_version: self.versions.newer_rejected(),
            wait: self.settings.poll_wait,
        })
    }

    fn wait_for_answer(&mut self, now: Duration, since: Duration) -> NextStep {
        let deadline = since + self.settings.poll_wait + self.settings.poll_timeout;
        if now < deadline {
            self.phase = Phase::Polling { since };
            return NextStep::Wait(deadline);
        }
        self.back_off(now);
        NextStep::PollFailed(Failure::TimedOut)
    }

    /// Handles the answer to the open poll; drops it if no poll is open.
    pub fn handle_message(&mut self, now: Duration, message: Message) {
        if !matches!(self.phase, Phase::Polling { .. }) {
            return;
        }
        self.phase = Phase::Idle { until: now };
        match message {
            Message::Unchanged(version) => self.handle_unchanged(now, version),
            Message::Delta(delta) => self.handle_delta(now, delta),
            Message::FullDocument(full) => self.handle_full_document(now, full),
        }
    }

    /// Records that the open poll failed, and delays the next one; does nothing if no poll is open.
    pub fn poll_failed(&mut self, now: Duration, failure: Failure) {
        if matches!(self.phase, Phase::Polling { .. }) {
            self.back_off(now);
            self.pending_step = Some(NextStep::PollFailed(failure));
        }
    }

    /// Records that the driver abandoned the open poll; the next one follows immediately.
    pub fn poll_abandoned(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Polling { .. }) {
            self.phase = Phase::Idle { until: now };
        }
    }

    fn handle_unchanged(&mut self, now: Duration, version: Version) {
        match self.versions.latest() {
            Some(known) if version < known => {
                self.reject(now, Rejection::VersionRollback { known, offered: version });
            }
            Some(known) if version == known => {
                self.backoff.reset();
                if self.versions.applied == Some(version) {
                    self.current_at = Some(self.polled_at);
                }
            }
            // The source has a later version but did not send it: request the full document.
            _ => {
                self.needs_full_document = true;
                self.back_off(now);
            }
        }
    }

    fn handle_delta(&mut self, now: Duration, delta: Delta) {
        let Err(rejection) = self.versions.check_delta(&delta) else {
            self.phase = Phase::Verifying(StagedUpdate::from_delta(delta, &self.document));
            return;
        };
        if let Rejection::BaseMismatch { applied, from } = rejection {
            self.needs_full_document |= from.epoch != applied.epoch || delta.to > applied;
        }
        self.reject(now, rejection);
    }

    fn handle_full_document(&mut self, now: Duration, full: FullDocument) {
        let offered = full.version;
        match self.versions.applied {
            Some(applied) if offered < applied => {
                self.needs_full_document = false;
                self.reject(now, Rejection::VersionRollback { known: applied, offered });
            }
            Some(applied) if offered == applied => self.confirm_full_document(now, &full),
            _ if self.versions.is_rejected(offered) => {
                self.reject(now, Rejection::AlreadyRejected(offered));
                self.delay_full_refetch(now);
            }
            _ => self.phase = Phase::Verifying(StagedUpdate::from_full_document(full)),
        }
    }

    /// Compares the checksum of the source's document of the version in force with this proxy's.
    fn confirm_full_document(&mut self, now: Duration, full: &FullDocument) {
        if full.checksum == self.document.checksum().with_version(full.version) {
            self.needs_full_document = false;
            self.current_at = Some(self.polled_at);
            self.backoff.reset();
        } else {
            self.reject(now, Rejection::ContentConflict(full.version));
            self.delay_full_refetch(now);
        }
    }

    fn back_off(&mut self, now: Duration) {
        self.phase = Phase::Idle { until: now + self.backoff.next_pause() };
    }

    fn reject(&mut self, now: Duration, rejection: Rejection) {
        self.back_off(now);
        self.pending_step = Some(NextStep::Rejected(rejection));
    }

    fn delay_full_refetch(&mut self, now: Duration) {
        self.phase = Phase::Idle { until: now + self.backoff.jitter(self.settings.full_refetch_after) };
    }

    fn verify(&mut self, now: Duration, mut staged: StagedUpdate) -> NextStep {
        match staged.verify(&self.document, self.settings.entries_per_slice) {
            Ok(Progress::More) => self.phase = Phase::Verifying(staged),
            Ok(Progress::Done) => self.phase = Phase::Validating(staged),
            Err(error) => {
                self.back_off(now);
                if staged.is_full_document() {
                    self.delay_full_refetch(now);
                }
                self.needs_full_document = true;
                return NextStep::Rejected(Rejection::Staging { version: staged.target(), error });
            }
        }
        NextStep::Continue
    }

    /// Returns the version whose settings the driver has to check, if there is one.
    pub fn candidate(&self) -> Option<Candidate<'_>> {
        match &self.phase {
            Phase::Validating(staged) => Some(staged.candidate(&self.document)),
            _ => None,
        }
    }

    /// Records whether the candidate's settings are valid; does nothing if there is no candidate.
    pub fn candidate_validated(&mut self, now: Duration, result: Result<(), InvalidSettings>) {
        match (std::mem::replace(&mut self.phase, Phase::Idle { until: now }), result) {
            (Phase::Validating(staged), Ok(())) => self.phase = Phase::Committing(staged),
            (Phase::Validating(staged), Err(error)) => {
                let version = staged.target();
                self.versions.rejected = Some(version);
                // The source itself works, so the next poll follows without a delay.
                self.backoff.reset();
                self.pending_step = Some(NextStep::Rejected(Rejection::InvalidSettings { version, error }));
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
        self.versions.applied = Some(version);
        self.needs_full_document = false;
        self.current_at = Some(self.polled_at);
        self.backoff.reset();
        NextStep::Applied(version)
    }
}
