//! The thread that writes the state files.

use super::files::{StateLocation, ENDPOINTS, ESTIMATES};
use super::now_ms;
use lotusdeck_core::Host;
use lotusdeck_proxy::cached_endpoint_list::CachedEndpointList;
use lotusdeck_proxy::endpoint_list::EndpointList;
use lotusdeck_state::Estimates;
use std::fs::{File, OpenOptions, TryLockError};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tracing::{info, warn};

/// File extension of the lock.
const LOCK: &str = "lock";

/// Updates that the thread has yet to write.
struct Pending {
    /// The complete list, merged from the updates of discovery.
    endpoints: CachedEndpointList,
    estimates: Option<Estimates>,
}

/// The changes since the last write.
struct Changes {
    endpoints: Option<EndpointList>,
    estimates: Option<Estimates>,
}

/// Passes updates from the event loop to the thread.
struct Handoff {
    pending: Mutex<Pending>,
    has_changed: Condvar,
}

impl Handoff {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut Pending)) {
        change(&mut self.lock());
        self.has_changed.notify_one();
    }

    /// Blocks until something has changed, and takes the changes.
    fn wait(&self) -> Changes {
        let mut pending = self.lock();
        loop {
            let endpoints = pending.endpoints.take_changed();
            let estimates = pending.estimates.take();
            if endpoints.is_some() || estimates.is_some() {
                return Changes { endpoints, estimates };
            }
            pending = self.has_changed.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// The event loop's handle to the thread, which writes changes at most once per interval. The event loop only merges
/// updates and passes estimates on; the thread copies the complete list and writes the files.
#[derive(Clone)]
pub(crate) struct StateWriter {
    handoff: Arc<Handoff>,
    interval: Duration,
}

impl StateWriter {
    /// Starts the thread with the list that the proxy starts with. While another process holds the lock of the state,
    /// as the old one does during an upgrade, this process writes nothing and waits until the other one ends.
    ///
    /// # Errors
    /// The folder or the lock file cannot be created, locking fails, or the thread cannot be started.
    pub(crate) fn start(
        location: StateLocation, interval: Duration, initial: &EndpointList,
    ) -> std::io::Result<StateWriter> {
        std::fs::create_dir_all(&location.folder)?;
        let lock = StateLock::open(location.path(LOCK))?;
        let pending = Pending { endpoints: CachedEndpointList::new(initial), estimates: None };
        let handoff = Arc::new(Handoff { pending: Mutex::new(pending), has_changed: Condvar::new() });
        let thread_handoff = handoff.clone();
        std::thread::Builder::new().name("state".into()).spawn(move || {
            // Held for as long as the process runs.
            let Some(_lock) = lock.wait() else { return };
            write_changes(&location, &thread_handoff, interval);
        })?;
        Ok(StateWriter { handoff, interval })
    }

    /// Merges an update of the endpoint list, and wakes the thread to write it.
    pub(crate) fn save_endpoints(&self, update: EndpointList) {
        self.handoff.update(|pending| pending.endpoints.apply(update));
    }

    /// Passes the estimates to the thread once per interval, for as long as the program runs.
    pub(crate) async fn save_estimates_periodically(self, host: Rc<Host>) {
        loop {
            tokio::time::sleep(self.interval).await;
            if let Some(estimates) = host.export_estimates() {
                let estimates = Estimates { written_ms: now_ms(), ..estimates };
                self.handoff.update(|pending| pending.estimates = Some(estimates));
            }
        }
    }
}

/// The lock of one proxy's state, which one process holds at a time.
struct StateLock {
    file: File,
    path: PathBuf,
    is_locked: bool,
}

impl StateLock {
    /// Opens the lock file and takes the lock if it is free.
    fn open(path: PathBuf) -> std::io::Result<StateLock> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path)?;
        let is_locked = match file.try_lock() {
            Ok(()) => true,
            Err(TryLockError::WouldBlock) => {
                warn!(path = %path.display(), "state is locked by another process; this one only reads until it ends");
                false
            }
            Err(TryLockError::Error(error)) => return Err(error),
        };
        Ok(StateLock { file, path, is_locked })
    }

    /// Blocks until the lock is held; returns `None` if locking fails.
    fn wait(self) -> Option<StateLock> {
        if self.is_locked {
            return Some(self);
        }
        match self.file.lock() {
            Ok(()) => {
                info!(path = %self.path.display(), "the other process ended; this one writes the state now");
                Some(self)
            }
            Err(error) => {
                warn!(%error, path = %self.path.display(), "state lock failed; this process does not write the state");
                None
            }
        }
    }
}

fn write_changes(location: &StateLocation, handoff: &Handoff, interval: Duration) {
    let mut endpoints_log = WriteLog::new(location.path(ENDPOINTS));
    let mut estimates_log = WriteLog::new(location.path(ESTIMATES));
    loop {
        let changes = handoff.wait();
        if let Some(list) = changes.endpoints {
            endpoints_log.record(location.write_endpoints(&list), Some(list.version));
        }
        if let Some(estimates) = changes.estimates {
            estimates_log.record(location.write_estimates(estimates), None);
        }
        std::thread::sleep(interval);
    }
}

/// Logs the first write of a file, and then each change between success and failure.
struct WriteLog {
    path: PathBuf,
    is_failing: bool,
    has_written: bool,
}

impl WriteLog {
    fn new(path: PathBuf) -> WriteLog {
        WriteLog { path, is_failing: false, has_written: false }
    }

    fn record(&mut self, outcome: std::io::Result<()>, index: Option<u64>) {
        let path = self.path.display();
        match outcome {
            Ok(()) if self.is_failing || !self.has_written => {
                info!(index, %path, "state written");
                self.is_failing = false;
                self.has_written = true;
            }
            // The previous file remains: complete, but older.
            Err(error) if !self.is_failing => {
                warn!(%error, %path, "state write failed; the last one stays");
                self.is_failing = true;
            }
            Ok(()) | Err(_) => {}
        }
    }
}
