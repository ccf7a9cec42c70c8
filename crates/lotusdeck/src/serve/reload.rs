//! Reload: applies changed files on SIGHUP and new versions of the configuration source, one at a time, while requests
//! are served.

use super::error::ServeError;
use crate::configuration::{ConfigurationSource, FollowTarget, VersionSettings};
use crate::operator::{
    FleetSection, LedgerSection, LimitSection, OperatorFile, PostgresSection, StateSection,
};
use lotusdeck_core::Host;
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::DiscoveryMode;
use lotusdeck_proxy::config::{ActiveConfigFile, ConfigChange};
use lotusdeck_proxy::stall_timeouts::SharedStallTimeouts;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::{debug, info, warn};

/// The sections of the operator file that are only read at start-up.
pub(super) struct StartupSections {
    /// The section `[ledger]`.
    pub ledger: LedgerSection,
    /// The sections `[[postgres]]`.
    pub postgres: Vec<PostgresSection>,
    /// The section `[state]`.
    pub state: StateSection,
    /// The section `[fleet]`.
    pub fleet: FleetSection,
    /// The sections `[[limit]]`.
    pub limits: Vec<LimitSection>,
}

impl StartupSections {
    /// Checks that the sections are the same in `operator`.
    ///
    /// # Errors
    /// One of the sections differs.
    fn check_unchanged(&self, operator: &OperatorFile) -> Result<(), ServeError> {
        let changed = |sections| Err(ServeError::NeedsRestart { sections });
        if operator.ledger != self.ledger {
            return changed("[ledger]");
        }
        if operator.postgres != self.postgres {
            return changed("[[postgres]]");
        }
        if operator.state != self.state {
            return changed("[state]");
        }
        if operator.fleet != self.fleet || operator.limits != self.limits {
            return changed("[fleet] or [[limit]]");
        }
        Ok(())
    }
}

/// Both files, read and checked.
struct Files {
    operator: OperatorFile,
    node: ConfigChange,
}

/// Runs long work on another thread, so that it does not block the event loop.
async fn off_event_loop<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, ServeError> {
    tokio::task::spawn_blocking(work).await.map_err(ServeError::Interrupted)
}

/// Applies changed files on SIGHUP, and new versions of the configuration source.
pub(super) struct Reloader {
    /// The host that applies settings.
    pub host: Rc<Host>,
    /// The node configuration in force.
    pub node_file: ActiveConfigFile,
    /// The operator file, if there is one.
    pub operator_path: Option<PathBuf>,
    /// The sections that must not change while the program runs.
    pub startup_sections: Arc<StartupSections>,
    /// The timeouts of `[http]` in force.
    pub stall_timeouts: SharedStallTimeouts,
    /// Sends the address and mode of discovery to its client.
    pub discovery: watch::Sender<(SocketAddr, DiscoveryMode)>,
    /// The source of configuration.
    pub source: ConfigurationSource,
    /// Whether the settings in force came from the source.
    pub has_source_settings: bool,
}

impl Reloader {
    /// Applies changes of the files and new versions one at a time, as signals and versions arrive. A signal that
    /// arrives during a change is handled after it, with the files as they are then.
    pub(super) async fn run(mut self, mut hangup: Signal) {
        loop {
            tokio::select! {
                signal = hangup.recv() => match signal {
                    Some(()) => self.reload_files().await,
                    None => return,
                },
                Some(version) = self.source.next_version() => self.apply_version(version).await,
            }
        }
    }

    async fn reload_files(&mut self) {
        match self.try_reload_files().await {
            Ok(changed) => {
                let discovery = self.discovery.borrow().0;
                info!(%discovery, changed, "configuration applied");
            }
            Err(error) => warn!(%error, "configuration rejected, nothing applied"),
        }
    }

    /// Applies both files completely or neither, and returns a description of what changed.
    async fn try_reload_files(&mut self) -> Result<String, ServeError> {
        let Files { operator, node } = self.read_files().await?;
        let target =
            FollowTarget { source: operator.configuration.source, file_outline: node.file.outline() };
        self.source.prepare(&target).map_err(ServeError::Configuration)?;
        let keeps_source_settings = self.has_source_settings && target.source.is_some();
        let changed = if keeps_source_settings {
            self.set_discovery_address(node.discovery);
            "only the proxy's own keys: a source is followed".into()
        } else {
            self.apply_settings(node.discovery, node.settings).await?
        };
        self.has_source_settings = keeps_source_settings;
        self.source.set_target(target);
        self.stall_timeouts.set(operator.http);
        self.node_file = node.file;
        Ok(changed)
    }

    async fn read_files(&self) -> Result<Files, ServeError> {
        let node_file = self.node_file.clone();
        let operator_path = self.operator_path.clone();
        let startup_sections = self.startup_sections.clone();
        let read = move || {
            let operator = OperatorFile::load(operator_path.as_deref())?;
            startup_sections.check_unchanged(&operator)?;
            let node = node_file.reread()?;
            Ok(Files { operator, node })
        };
        off_event_loop(read).await?
    }

    /// Applies settings and returns a description of what changed. Only the last step runs on the event loop.
    async fn apply_settings(&self, discovery: SocketAddr, settings: Settings) -> Result<String, ServeError> {
        let mode = settings.config.discovery;
        let settings = Arc::new(settings);
        let changed = loop {
            let in_force = self.host.active_settings();
            let new = settings.clone();
            let successor = off_event_loop(move || in_force.prepare(Settings::clone(&new))).await?;
            match self.host.apply_settings(successor) {
                Ok(changed) => break changed,
                Err(outdated) => debug!(%outdated, "configuration changed meanwhile, merged again"),
            }
        };
        let target = (discovery, mode);
        self.discovery.send_if_modified(|old| std::mem::replace(old, target) != target);
        Ok(changed)
    }

    /// Changes the address of discovery and keeps its mode.
    fn set_discovery_address(&self, address: SocketAddr) {
        self.discovery.send_if_modified(|old| std::mem::replace(&mut old.0, address) != address);
    }

    /// Applies the settings of a version, unless the target has been replaced since they were read.
    async fn apply_version(&mut self, read: VersionSettings) {
        if read.target != self.source.target() {
            return;
        }
        let discovery = self.discovery.borrow().0;
        match self.apply_settings(discovery, read.settings).await {
            Ok(changed) => {
                self.has_source_settings = true;
                info!(version = %read.version, changed, "configuration applied");
            }
            Err(error) => warn!(version = %read.version, %error, "configuration rejected"),
        }
    }
}
