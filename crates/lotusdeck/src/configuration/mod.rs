//! Follows a source of configuration (docs/configuration-distribution.md) on a separate thread: polling, decoding,
//! verifying and reading megabytes never block the event loop, which receives settings that have been read and checked.
//!
//! `worker` runs the thread, `poll` defines the URI and the outcomes of a poll, and `status` holds what operators see.

mod poll;
mod status;
mod worker;

pub(crate) use status::SourceStatus;

use lotusdeck_configuration::Version;
use lotusdeck_policy::settings::Settings;
use lotusdeck_proxy::config::SettingsOutline;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use worker::Worker;

/// The source to follow, and the outline of this proxy's settings.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FollowTarget {
    /// The address of the source; `None` if none is followed.
    pub source: Option<SocketAddr>,
    /// The outline of the settings in the node configuration.
    pub file_outline: SettingsOutline,
}

/// The settings of a version, read and checked.
pub(crate) struct VersionSettings {
    /// The target for which they were read. They are not applied if another target has replaced it.
    pub target: FollowTarget,
    /// The version.
    pub version: Version,
    /// The settings.
    pub settings: Settings,
}

/// The event loop's handle to the thread, which is started by the first target that names a source.
pub(crate) struct ConfigurationSource {
    targets: watch::Sender<FollowTarget>,
    version_sender: mpsc::Sender<VersionSettings>,
    versions: mpsc::Receiver<VersionSettings>,
    status: Arc<SourceStatus>,
    seed: u64,
    has_thread: bool,
}

impl ConfigurationSource {
    /// Starts the thread if the target names a source. `seed` makes this proxy's pauses between polls differ from those
    /// of others.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub(crate) fn new(target: FollowTarget, seed: u64) -> std::io::Result<ConfigurationSource> {
        let is_followed = target.source.is_some();
        // Capacity 1: versions published while the event loop applies one arrive afterwards, as one delta.
        let (version_sender, versions) = mpsc::channel(1);
        let mut source = ConfigurationSource {
            targets: watch::Sender::new(target),
            version_sender,
            versions,
            status: Arc::new(SourceStatus::default()),
            seed,
            has_thread: false,
        };
        if is_followed {
            source.start_thread()?;
        }
        Ok(source)
    }

    /// Starts the thread. Its three descriptors (an event queue, its waker, a connection) are among the reserved ones of
    /// `serve::descriptors`.
    fn start_thread(&mut self) -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let targets = self.targets.subscribe();
        let versions = self.version_sender.clone();
        let status = self.status.clone();
        let seed = self.seed;
        std::thread::Builder::new()
            .name("configuration".into())
            .spawn(move || runtime.block_on(Worker::new(targets, versions, status, seed).run()))?;
        self.has_thread = true;
        Ok(())
    }

    /// Waits for the settings of the next version.
    pub(crate) async fn next_version(&mut self) -> Option<VersionSettings> {
        self.versions.recv().await
    }

    /// Starts the thread if the target needs it. Setting the target cannot fail after this.
    ///
    /// # Errors
    /// The target is the first that names a source, and the thread cannot be started.
    pub(crate) fn prepare(&mut self, target: &FollowTarget) -> std::io::Result<()> {
        if target.source.is_some() && !self.has_thread {
            return self.start_thread();
        }
        Ok(())
    }

    /// Replaces the target, and notifies the thread if it has changed.
    pub(crate) fn set_target(&mut self, target: FollowTarget) {
        self.targets.send_if_modified(|old| {
            let has_changed = *old != target;
            *old = target;
            has_changed
        });
    }

    /// Returns the current target.
    pub(crate) fn target(&self) -> FollowTarget {
        self.targets.borrow().clone()
    }

    /// Returns the status that operators see.
    pub(crate) fn status(&self) -> Arc<SourceStatus> {
        self.status.clone()
    }
}
