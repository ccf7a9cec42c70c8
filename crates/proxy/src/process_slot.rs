//! Whether another process of this proxy serves beside this one, as during an upgrade.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing::warn;

/// How often the other's lock is looked at.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A lock may be held for an instant by one who only looks.
const TRIES: u32 = 50;
const PAUSE: Duration = Duration::from_millis(2);

/// This process's place among the two that there may be. The kernel frees it when the process ends.
pub struct ProcessSlot {
    /// Held for as long as the process runs.
    _own: Option<File>,
    other: Option<File>,
}

impl ProcessSlot {
    /// Takes a free place. Where none can be had the process counts as alone: it serves all the same.
    pub async fn acquire(base: &Path) -> ProcessSlot {
        let places = [place(base, 0), place(base, 1)];
        for _ in 0..TRIES {
            for (own, other) in [(0, 1), (1, 0)] {
                match lock(&places[own]) {
                    Ok(Some(file)) => {
                        return ProcessSlot { _own: Some(file), other: open(&places[other]).ok() }
                    }
                    Ok(None) => {}
                    Err(e) => {
                        warn!("cannot tell whether another process serves: {e}");
                        return ProcessSlot { _own: None, other: None };
                    }
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        warn!("two other processes serve already");
        ProcessSlot { _own: None, other: open(&places[0]).ok() }
    }

    /// Another process holds the other place.
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

fn place(base: &Path, number: u32) -> PathBuf {
    base.with_extension(format!("process.{number}"))
}

fn open(path: &Path) -> io::Result<File> {
    File::options().create(true).append(true).open(path)
}

/// `None`: another holds it.
fn lock(path: &Path) -> io::Result<Option<File>> {
    let file = open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

#[cfg(test)]
mod tests;
