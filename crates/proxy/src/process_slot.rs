//! Whether another process of this proxy serves at the same time, as during an upgrade.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing::warn;

/// How often the lock of the other process is checked.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often a lock is tried: it may be held for an instant by a process that only checks it.
const MAX_TRIES: u32 = 50;
const RETRY_DELAY: Duration = Duration::from_millis(2);

/// This process's slot of the two that a proxy has. The kernel frees it when the process ends.
pub struct ProcessSlot {
    /// Locked for as long as the process runs.
    _own: Option<File>,
    other: Option<File>,
}

impl ProcessSlot {
    /// Takes a free slot. Where none can be had the process counts as alone: it serves all the same.
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

    /// Whether another process holds the other slot.
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

/// `None`: another process holds the lock.
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
