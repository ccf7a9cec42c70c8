//! Detects whether another process of this proxy is serving at the same time, as during an upgrade.

use crate::shared_ids::SharedIds;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing::warn;

/// The interval between checks of the other process's lock.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of attempts to take a lock, as a process that only checks it holds it briefly.
const MAX_TRIES: u32 = 50;
/// The delay between two attempts to take a lock.
const RETRY_DELAY: Duration = Duration::from_millis(2);

/// This process's slot, one of the two that a proxy has. The kernel frees it when the process ends.
pub struct ProcessSlot {
    /// The number of the slot; `None` without one.
    number: Option<u32>,
    base: PathBuf,
    /// Locked while the process runs.
    _own: Option<File>,
    other: Option<File>,
}

impl ProcessSlot {
    /// Takes a free slot. A process that gets none serves as well: without usable lock files it assumes that it is the
    /// only one, and while two others run it has no slot of its own.
    pub async fn acquire(base: &Path) -> ProcessSlot {
        let slot = |number, own, other| ProcessSlot { number, base: base.into(), _own: own, other };
        let first = lock_path(base, 0);
        let second = lock_path(base, 1);
        for _ in 0..MAX_TRIES {
            for (number, own, other) in [(0, &first, &second), (1, &second, &first)] {
                match lock(own) {
                    Ok(Some(file)) => return slot(Some(number), Some(file), open(other).ok()),
                    Ok(None) => {}
                    Err(error) => {
                        warn!(%error, "cannot tell whether another process serves");
                        return slot(None, None, None);
                    }
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        warn!("two other processes serve already");
        slot(None, None, open(&first).ok())
    }

    /// Opens the ids of requests that the two processes share; `None` without a slot or usable files.
    pub fn shared_ids(&self) -> Option<SharedIds> {
        let number = self.number?;
        let path = |number| self.base.with_extension(format!("ids.{number}"));
        let opened = SharedIds::open(&path(number), &path(1 - number));
        opened.inspect_err(|error| warn!(%error, "ids of requests are not shared with another process")).ok()
    }

    /// Returns whether another process holds the other slot.
    pub fn other_is_running(&self) -> bool {
        let Some(other) = &self.other else { return false };
        match other.try_lock_shared() {
            Ok(()) => {
                let _ = other.unlock();
                false
            }
            Err(TryLockError::WouldBlock) => true,
            Err(TryLockError::Error(_)) => false,
        }
    }
}

fn lock_path(base: &Path, number: u32) -> PathBuf {
    base.with_extension(format!("process.{number}"))
}

fn open(path: &Path) -> io::Result<File> {
    File::options().create(true).append(true).open(path)
}

/// Locks the file at `path`; returns `None` if another process holds the lock.
fn lock(path: &Path) -> io::Result<Option<File>> {
    let file = open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

#[cfg(test)]
mod tests;
