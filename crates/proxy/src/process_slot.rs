//! Detects whether another process of this proxy is serving at the same time, as during an upgrade.

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
    /// Locked while the process runs.
    _own: Option<File>,
    other: Option<File>,
}

impl ProcessSlot {
    /// Takes a free slot. A process that gets none serves as well: without usable lock files it assumes that it is the
    /// only one, and while two others run it has no slot of its own.
    pub async fn acquire(base: &Path) -> ProcessSlot {
        let first = lock_path(base, 0);
        let second = lock_path(base, 1);
        for _ in 0..MAX_TRIES {
            for (own, other) in [(&first, &second), (&second, &first)] {
                match lock(own) {
                    Ok(Some(file)) => return ProcessSlot { _own: Some(file), other: open(other).ok() },
                    Ok(None) => {}
                    Err(error) => {
                        warn!(%error, "cannot tell whether another process serves");
                        return ProcessSlot { _own: None, other: None };
                    }
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        warn!("two other processes serve already");
        ProcessSlot { _own: None, other: open(&first).ok() }
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
