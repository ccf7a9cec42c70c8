//! The thread that follows the source: polls it, reads the settings of each version, and sends them to the event loop.

use super::poll::{uri, PollOutcome};
use super::status::{SourceReport, SourceStatus};
use super::{SourceOrder, VersionSettings};
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
struct ReadSettings {
    settings: Settings,
    outline: SettingsOutline,
}

/// `Break` ends the thread.
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
    orders: watch::Receiver<SourceOrder>,
    order: SourceOrder,
    versions: mpsc::Sender<VersionSettings>,
    status: Arc<SourceStatus>,
    seed: u64,
    started_at: Instant,
    follower: Follower,
    /// The outline of the settings in force; before the first version, of those in the file.
    outline: SettingsOutline,
    /// The candidate's settings, until they are applied.
    candidate: Option<ReadSettings>,
    link: Option<IdleConnection>,
    /// The last problem that was logged; one that persists is logged once.
    logged_problem: Option<String>,
}

impl Worker {
    /// Creates a worker that follows the current order and each later one.
    pub(super) fn new(
        mut orders: watch::Receiver<SourceOrder>, versions: mpsc::Sender<VersionSettings>,
        status: Arc<SourceStatus>, seed: u64,
    ) -> Worker {
        let order = orders.borrow_and_update().clone();
        let outline = order.file.clone();
        Worker {
            orders,
            order,
            versions,
            status,
            seed,
            started_at: Instant::now(),
            follower: Follower::new(FollowerSettings::default(), seed),
            outline,
            candidate: None,
            link: None,
            logged_problem: None,
        }
    }

    /// Runs until the program ends.
    pub(super) async fn run(mut self) {
        loop {
            let flow = match self.order.source {
                Some(source) => self.step(source).await,
                None => self.wait_for_order().await,
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

    async fn wait_for_order(&mut self) -> Flow {
        let changed = self.orders.changed().await;
        break_if_closed(&changed)?;
        self.apply_order().await
    }

    async fn wait(&mut self, span: Duration) -> Flow {
        let changed = tokio::select! {
            () = tokio::time::sleep(span) => return Flow::Continue(()),
            changed = self.orders.changed() => changed,
        };
        break_if_closed(&changed)?;
        self.apply_order().await
    }

    async fn poll(&mut self, source: SocketAddr, poll: Poll) -> Flow {
        let timeout = poll.wait + FollowerSettings::default().poll_timeout;
        let uri = uri(&poll);
        let outcome = tokio::select! {
            answer = http_client::get(&mut self.link, source, &uri, MAX_MESSAGE_BYTES, timeout) => PollOutcome::of_call(answer),
            changed = self.orders.changed() => match changed {
                Ok(()) => PollOutcome::OrderChanged,
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
                self.link = None;
                self.follower.poll_failed(now, failure);
            }
            PollOutcome::OrderChanged => {
                self.link = None;
                self.follower.poll_abandoned(now);
                return self.apply_order().await;
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
        let verdict =
            read.as_ref().map(|_| ()).map_err(|rejected| InvalidSettings::new(rejected.to_string()));
        self.candidate = read.ok();
        self.follower.candidate_validated(self.now(), verdict);
    }

    fn read_settings(&self, object: Value) -> Result<ReadSettings, RejectedSettings> {
        let (settings, outline) = self.outline.read_successor(object)?;
        Ok(ReadSettings { settings, outline })
    }

    /// Sends the candidate's settings to the event loop.
    async fn apply_candidate(&mut self, version: Version) -> Flow {
        let Some(ReadSettings { settings, outline }) = self.candidate.take() else {
            return Flow::Continue(());
        };
        self.logged_problem = None;
        self.outline = outline;
        let read = VersionSettings { order: self.order.clone(), version, settings };
        break_if_closed(&self.versions.send(read).await)
    }

    /// Switches to the latest order. If both it and the previous one name a source, the document is kept, and its
    /// settings are read again with the proxy's own keys of the new order. Otherwise the follower starts without a
    /// document.
    async fn apply_order(&mut self) -> Flow {
        let order = self.orders.borrow_and_update().clone();
        let old = std::mem::replace(&mut self.order, order);
        if self.order.source.is_none() || old.source.is_none() {
            self.follower = Follower::new(FollowerSettings::default(), self.seed);
            self.outline = self.order.file.clone();
            self.status.set(None);
            return Flow::Continue(());
        }
        self.outline = self.outline.with_own_keys(&self.order.file);
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
