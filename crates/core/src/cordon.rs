//! The backends that operators have cordoned: no request is sent to them, whatever discovery reports. They are kept
//! in a file, so that a cordon survives an upgrade and applies to both processes while two serve.

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

/// How often the file is checked for changes by the other process: well inside the time in which sends to a cordoned
/// backend have to end.
pub(crate) const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The other process holds the lock only while it writes some hundred bytes.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Why a change was not saved. Nothing has changed then, neither in the file nor in memory.
#[derive(Debug, Error)]
pub enum CordonError {
    /// The lock was not free within the lock's timeout.
    #[error("the other process holds the lock")]
    Locked,
    /// The file or its lock could not be opened, locked or written.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Identifies one version of the file: each write replaces it with a new file.
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

/// The ids of the cordoned backends, and the file that they are saved in, one id a line.
///
/// The file is in memory (`$TMPDIR`) and holds some hundred bytes, so reading it does not block the event loop.
pub struct Cordon {
    file: PathBuf,
    lock: PathBuf,
    ids: RefCell<BTreeSet<String>>,
    loaded_version: Cell<Option<FileVersion>>,
}

impl Cordon {
    /// Loads the file that belongs to `base`, if there is one. Lines that are no ids are ignored with a warning.
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

    /// Whether the backend of that id is cordoned.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.borrow().contains(id)
    }

    /// How many backends are cordoned.
    pub fn count(&self) -> usize {
        self.ids.borrow().len()
    }

    /// Loads the file again if another process replaced it; returns whether the set of ids changed.
    pub fn refresh(&self) -> bool {
        // Without a file nothing is cordoned: it is written before the first change is confirmed, and never removed.
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

    /// Cordons a backend or lifts its cordon, and saves that before it returns; returns whether anything changed.
    ///
    /// # Errors
    /// The change could not be saved, and has not taken effect.
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

    /// Takes the lock under which the file is read and replaced, so that two processes lose neither's change. It is
    /// released when the returned file is dropped.
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

    /// Replaces the file by a rename: a reader, or a process that starts after a kill, finds the old or the new one
    /// complete.
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

/// Whether a line can be an id; what was not UTF-8 shows as the replacement character.
fn is_valid_id(line: &str) -> bool {
    !line.chars().any(|c| c.is_control() || c.is_whitespace() || c == char::REPLACEMENT_CHARACTER)
}
