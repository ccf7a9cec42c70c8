//! The thread that follows the source: polls it, reads the settings of each version, and sends them to the event loop.

use super::poll::{uri, PollOutcome};
use super::status::{SourceReport, SourceStatus};
use super::{FollowTarget, VersionSettings};
use lotusdeck_configuration::message::MAX_MESSAGE_BYTES;
use lotusdeck_configuration::{
    document, DocumentError, Follower, FollowerSettings, InvalidSettings, NextStep, Poll, SyncState, Version,
};
use lotusdeck_policy::settings::Settings;
use lotusdeck_proxy::config::{NodeConfigError, SettingsOutline};
use lotusdeck_proxy::http_client::{self, IdleConnection};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

/// Why a version's settings cannot be applied by this proxy.
#[derive(Debug, Error)]
enum RejectedSettings {
    /// The document does not convert to settings.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The settings do not fit the node configuration.
    #[error(transparent)]
    Node(#[from] NodeConfigError),
}

/// Settings that have been read and checked, and their outline.
struct CheckedSettings {
    settings: Settings,
    outline: SettingsOutline,
}

/// Whether the thread continues; `Break` ends it.
type Flow = ControlFlow<()>;

/// Returns `Break` if a channel to the event loop is closed, which means that the program is ending.
fn break_if_closed<T, E>(result: &Result<T, E>) -> Flow {
    match result {
        Ok(_) => Flow::Continue(()),
        Err(_) => Flow::Break(()),
    }
}

/// The thread's state.
pub(super) struct Worker {
    targets: watch::Receiver<FollowTarget>,
    target: FollowTarget,
    versions: mpsc::Sender<VersionSettings>,
    status: Arc<SourceStatus>,
    seed: u64,
    started_at: Instant,
    follower: Follower,
    /// The outline of the settings in force; before the first version, of those in the file.
    outline: SettingsOutline,
    /// The candidate's settings, until they are applied.
    candidate: Option<CheckedSettings>,
    connection: Option<IdleConnection>,
    /// The last problem that was logged. A problem that persists is logged only once.
    logged_problem: Option<String>,
}

impl Worker {
    /// Creates a worker that follows the current target and each later one.
    pub(super) fn new(
        mut targets: watch::Receiver<FollowTarget>, versions: mpsc::Sender<VersionSettings>,
        status: Arc<SourceStatus>, seed: u64,
    ) -> Worker {
        let target = targets.borrow_and_update().clone();
        let outline = target.file_outline.clone();
        Worker {
            targets,
            target,
            versions,
            status,
            seed,
            started_at: Instant::now(),
            follower: Follower::new(FollowerSettings::default(), seed),
            outline,
            candidate: None,
            connection: None,
            logged_problem: None,
        }
    }

    /// Runs until the program ends.
    pub(super) async fn run(mut self) {
        loop {
            let flow = match self.target.source {
                Some(source) => self.step(source).await,
                None => self.wait_for_target().await,
            };
            if flow.is_break() {
                return;
            }
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Performs the next step of the follower.
    async fn step(&mut self, source: SocketAddr) -> Flow {
        let now = self.now();
        let step = self.follower.next_step(now);
        self.report(source);
        match step {
            NextStep::Poll(poll) => return self.poll(source, poll).await,
            NextStep::Wait(until) => return self.wait(until.saturating_sub(now)).await,
            NextStep::Continue => tokio::task::yield_now().await,
            NextStep::Validate => self.validate_candidate(),
            NextStep::Applied(version) => return self.apply_candidate(version).await,
            NextStep::Rejected(reason) => {
                self.log_problem("configuration version rejected", reason.to_string());
            }
            NextStep::PollFailed(failure) => {
                self.log_problem("configuration poll failed", failure.to_string());
            }
        }
        Flow::Continue(())
    }

    fn report(&self, source: SocketAddr) {
        let status = self.follower.status(self.now());
        self.status.set(Some(SourceReport {
            source,
            applied_version: status.applied_version,
            sync_state: status.sync_state,
            current_at: status.age.and_then(|age| Instant::now().checked_sub(age)),
        }));
    }

    async fn wait_for_target(&mut self) -> Flow {
        let changed = self.targets.changed().await;
        break_if_closed(&changed)?;
        self.apply_target().await
    }

    async fn wait(&mut self, span: Duration) -> Flow {
        let changed = tokio::select! {
            () = tokio::time::sleep(span) => return Flow::Continue(()),
            changed = self.targets.changed() => changed,
        };
        break_if_closed(&changed)?;
        self.apply_target().await
    }

    async fn poll(&mut self, source: SocketAddr, poll: Poll) -> Flow {
        let timeout = poll.wait + FollowerSettings::default().poll_timeout;
        let uri = uri(&poll);
        let outcome = tokio::select! {
            answer = http_client::get(&mut self.connection, source, &uri, MAX_MESSAGE_BYTES, timeout) => PollOutcome::from_result(answer),
            changed = self.targets.changed() => match changed {
                Ok(()) => PollOutcome::TargetChanged,
                Err(_) => PollOutcome::Closed,
            },
        };
        let now = self.now();
        match outcome {
            PollOutcome::Answered(message) => {
                self.follower.handle_message(now, *message);
                self.log_recovery(source, now);
            }
            PollOutcome::Failed(failure) => {
                self.connection = None;
                self.follower.poll_failed(now, failure);
            }
            PollOutcome::TargetChanged => {
                self.connection = None;
                self.follower.poll_abandoned(now);
                return self.apply_target().await;
            }
            PollOutcome::Closed => return Flow::Break(()),
        }
        Flow::Continue(())
    }

    fn log_recovery(&mut self, source: SocketAddr, now: Duration) {
        let is_current = self.follower.status(now).sync_state == SyncState::Current;
        if is_current && self.logged_problem.take().is_some() {
            info!(%source, "configuration source recovered");
        }
    }

    /// Reads the candidate's settings in the same way as those of a file, and reports to the follower whether they are
    /// valid.
    fn validate_candidate(&mut self) {
        let Some(candidate) = self.follower.candidate() else { return };
        let object = candidate.to_settings().map_err(RejectedSettings::from);
        let read = object.and_then(|object| self.read_settings(object));
        let result = read.as_ref().map(|_| ()).map_err(|rejected| InvalidSettings::new(rejected.to_string()));
        self.candidate = read.ok();
        self.follower.candidate_validated(self.now(), result);
    }

    fn read_settings(&self, object: Value) -> Result<CheckedSettings, RejectedSettings> {
        let (settings, outline) = self.outline.read_successor(object)?;
        Ok(CheckedSettings { settings, outline })
    }

    /// Sends the candidate's settings to the event loop.
    async fn apply_candidate(&mut self, version: Version) -> Flow {
        let Some(CheckedSettings { settings, outline }) = self.candidate.take() else {
            return Flow::Continue(());
        };
        self.logged_problem = None;
        self.outline = outline;
        let read = VersionSettings { target: self.target.clone(), version, settings };
        break_if_closed(&self.versions.send(read).await)
    }

    /// Switches to the latest target. If both it and the previous one name a source, the document is kept, and its
    /// settings are read again with the proxy's own keys of the new target. Otherwise the follower starts without a
    /// document.
    async fn apply_target(&mut self) -> Flow {
        let target = self.targets.borrow_and_update().clone();
        let old = std::mem::replace(&mut self.target, target);
        if self.target.source.is_none() || old.source.is_none() {
            self.follower = Follower::new(FollowerSettings::default(), self.seed);
            self.outline = self.target.file_outline.clone();
            self.status.set(None);
            return Flow::Continue(());
        }
        self.outline = self.outline.with_own_keys(&self.target.file_outline);
        let Some(version) = self.follower.applied_version() else { return Flow::Continue(()) };
        let object = document::to_settings(self.follower.document().iter()).map_err(RejectedSettings::from);
        match object.and_then(|object| self.read_settings(object)) {
            Ok(read) => {
                self.candidate = Some(read);
                self.apply_candidate(version).await
            }
            Err(reason) => {
                self.log_problem("applied version does not fit the node configuration", reason.to_string());
                Flow::Continue(())
            }
        }
    }

    fn log_problem(&mut self, message: &str, reason: String) {
        if self.logged_problem.as_ref() != Some(&reason) {
            let applied = self.follower.applied_version();
            let in_force = applied.map_or("none".into(), |version| version.to_string());
            warn!(error = reason, in_force, "{message}");
        }
        self.logged_problem = Some(reason);
    }
}
