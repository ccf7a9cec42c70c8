//! Follows a source of configuration (docs/configuration-distribution.md) on a thread of its own: polling, decoding,
//! verifying and reading megabytes never hold the event loop, which gets settings that were read and checked.
//!
//! `worker` is the thread, `poll` one question to the source, and `status` what operators see.

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

/// Which source to follow, and as which proxy.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SourceOrder {
    /// Where the source is; `None` where none is followed.
    pub source: Option<SocketAddr>,
    /// The outline of the settings in the node configuration.
    pub file: SettingsOutline,
}

/// Settings of a version, read and checked.
pub(crate) struct VersionSettings {
    /// The order under which they were read: under another one they are not applied.
    pub order: SourceOrder,
    /// The version that they are of.
    pub version: Version,
    /// All of them.
    pub settings: Settings,
}

/// The event loop's side of the thread, which is started by the first order that names a source.
pub(crate) struct ConfigurationSource {
    orders: watch::Sender<SourceOrder>,
    version_sender: mpsc::Sender<VersionSettings>,
    versions: mpsc::Receiver<VersionSettings>,
    status: Arc<SourceStatus>,
    seed: u64,
    has_thread: bool,
}

impl ConfigurationSource {
    /// `seed` spreads the pauses of this proxy from those of others.
    ///
    /// # Errors
    /// There is no thread to be had.
    pub(crate) fn new(order: SourceOrder, seed: u64) -> std::io::Result<ConfigurationSource> {
        let is_followed = order.source.is_some();
        // One at a time: what comes meanwhile is one delta later.
        let (version_sender, versions) = mpsc::channel(1);
        let mut source = ConfigurationSource {
            orders: watch::Sender::new(order),
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

    /// Its descriptors (an event queue, its waker, a connection) are three of the reserve.
    fn start_thread(&mut self) -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let orders = self.orders.subscribe();
        let versions = self.version_sender.clone();
        let status = self.status.clone();
        let seed = self.seed;
        std::thread::Builder::new()
            .name("configuration".into())
            .spawn(move || runtime.block_on(Worker::new(orders, versions, status, seed).run()))?;
        self.has_thread = true;
        Ok(())
    }

    /// Settings of a later version.
    pub(crate) async fn next_version(&mut self) -> Option<VersionSettings> {
        self.versions.recv().await
    }

    /// Does whatever an order needs that can fail; setting it cannot fail after this.
    ///
    /// # Errors
    /// It names the first source, and there is no thread to be had.
    pub(crate) fn prepare(&mut self, order: &SourceOrder) -> std::io::Result<()> {
        if order.source.is_some() && !self.has_thread {
            return self.start_thread();
        }
        Ok(())
    }

    /// Replaces the order.
    pub(crate) fn set_order(&mut self, order: SourceOrder) {
        self.orders.send_if_modified(|old| {
            let has_changed = *old != order;
            *old = order;
            has_changed
        });
    }

    /// The order that holds.
    pub(crate) fn order(&self) -> SourceOrder {
        self.orders.borrow().clone()
    }

    /// What operators see of the thread.
    pub(crate) fn status(&self) -> Arc<SourceStatus> {
        self.status.clone()
    }
}
