//! The backends that operators have cordoned: they receive no requests, regardless of discovery. The set is saved in a
//! file, so that a cordon survives an upgrade and applies to both processes while two run.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::{File, Metadata, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tracing::warn;

/// Interval between checks of the file for changes by the other process; well below the time within which a cordoned
/// backend must stop receiving requests.
pub(crate) const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the lock. The other process holds it only while it writes a few hundred bytes.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// An error that prevented a change from being saved; it was made neither in the file nor in memory.
#[derive(Debug, Error)]
pub enum CordonError {
    /// The lock could not be acquired within the timeout.
    #[error("the other process holds the lock")]
    Locked,
    /// The file or its lock could not be opened, locked or written.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Identifies a version of the file by its metadata: each write replaces the file with a new one.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    length: u64,
}

impl From<&Metadata> for FileVersion {
    fn from(metadata: &Metadata) -> FileVersion {
        FileVersion {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            length: metadata.len(),
        }
    }
}

/// The ids of the cordoned backends and the file that they are saved in, one id per line.
///
/// The file is in an in-memory file system (`$TMPDIR`) and holds a few hundred bytes, so reading it does not block
/// the event loop.
pub struct Cordon {
    file: PathBuf,
    lock: PathBuf,
    ids: RefCell<BTreeSet<String>>,
    loaded_version: Cell<Option<FileVersion>>,
}

impl Cordon {
    /// Loads the file at `base` with the extension `cordon`, if it exists. Invalid lines are ignored with a warning.
    pub fn load(base: &Path) -> Cordon {
        let cordon = Cordon {
            file: base.with_extension("cordon"),
            lock: base.with_extension("cordon.lock"),
            ids: RefCell::default(),
            loaded_version: Cell::new(None),
        };
        cordon.refresh();
        cordon
    }

    /// Returns whether the backend with this id is cordoned.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.borrow().contains(id)
    }

    /// Returns the number of cordoned backends.
    pub fn count(&self) -> usize {
        self.ids.borrow().len()
    }

    /// Reloads the file if another process replaced it; returns whether the set of ids changed.
    pub fn refresh(&self) -> bool {
        // Without a file no backend has been cordoned: it is written before the first change is confirmed and never
        // removed.
        let Ok(metadata) = std::fs::metadata(&self.file) else { return false };
        let version = Some(FileVersion::from(&metadata));
        if self.loaded_version.replace(version) == version {
            return false;
        }
        match read_ids(&self.file) {
            Ok(ids) => self.ids.replace(ids.clone()) != ids,
            Err(error) => {
                warn!(%error, "cordon file cannot be read, known cordons stay");
                false
            }
        }
    }

    /// Cordons a backend or lifts its cordon, and saves the change before it returns; returns whether anything
    /// changed.
    ///
    /// # Errors
    /// Returns an error if the change could not be saved; it has not taken effect then.
    pub async fn set(&self, id: &str, cordoned: bool) -> Result<bool, CordonError> {
        let _lock = self.acquire_lock().await?;
        self.refresh();
        let mut ids = self.ids.borrow().clone();
        let changed = if cordoned { ids.insert(id.into()) } else { ids.remove(id) };
        if changed {
            self.save(&ids)?;
            self.ids.replace(ids);
        }
        Ok(changed)
    }

    /// Acquires the lock under which the file is read and replaced, so that no change is lost when two processes
    /// write. The lock is released when the returned file is dropped.
    async fn acquire_lock(&self) -> Result<File, CordonError> {
        let file = File::options().create(true).append(true).open(&self.lock)?;
        let attempts = LOCK_TIMEOUT.as_millis() / LOCK_RETRY_INTERVAL.as_millis();
        for _ in 0..attempts {
            match file.try_lock() {
                Ok(()) => return Ok(file),
                Err(TryLockError::WouldBlock) => tokio::time::sleep(LOCK_RETRY_INTERVAL).await,
                Err(TryLockError::Error(error)) => return Err(error.into()),
            }
        }
        Err(CordonError::Locked)
    }

    /// Replaces the file by a rename, so that a reader, or a process started after a kill, finds either the old or
    /// the new version complete.
    fn save(&self, ids: &BTreeSet<String>) -> io::Result<()> {
        let temporary = self.file.with_extension("cordon.new");
        let mut file = File::create(&temporary)?;
        let text: String = ids.iter().flat_map(|id| [id.as_str(), "\n"]).collect();
        file.write_all(text.as_bytes())?;
        let version = FileVersion::from(&file.metadata()?);
        std::fs::rename(&temporary, &self.file)?;
        self.loaded_version.set(Some(version));
        Ok(())
    }
}

fn read_ids(path: &Path) -> io::Result<BTreeSet<String>> {
    let bytes = std::fs::read(path)?;
    let text = String::from_utf8_lossy(&bytes);
    let lines = text.lines().filter(|line| !line.is_empty());
    let (valid, invalid): (Vec<&str>, Vec<&str>) = lines.partition(|line| is_valid_id(line));
    if !invalid.is_empty() {
        warn!(lines = invalid.len(), "invalid lines of the cordon file ignored");
    }
    Ok(valid.into_iter().map(String::from).collect())
}

/// Returns whether a line can be an id. Bytes that are not UTF-8 appear as the replacement character.
fn is_valid_id(line: &str) -> bool {
    !line.chars().any(|c| c.is_control() || c.is_whitespace() || c == char::REPLACEMENT_CHARACTER)
}
