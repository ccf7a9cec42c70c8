//! The backends that operators have taken out, whatever discovery's list says of them: kept in a file, so that
//! the ban holds across an upgrade and binds both processes while two serve.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fmt;
use std::fs::{File, Metadata, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing::warn;

/// How often the file is looked at for what the other process wrote: well inside the time in which sends to
/// a banned backend have to end.
pub const LOOK: Duration = Duration::from_millis(50);
/// The other process holds the lock for a write of some hundred bytes.
const LOCK_PATIENCE: Duration = Duration::from_millis(500);
const LOCK_PAUSE: Duration = Duration::from_millis(2);

/// Why a change was not saved; nothing has changed then.
#[derive(Debug)]
pub enum CordonError {
    Locked,
    Io(io::Error),
}

impl fmt::Display for CordonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CordonError::Locked => write!(f, "the other process holds the lock"),
            CordonError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for CordonError {}

impl From<io::Error> for CordonError {
    fn from(e: io::Error) -> CordonError {
        CordonError::Io(e)
    }
}

/// What tells one state of the file from another: each is written anew and renamed into place.
type Stamp = (u64, i64, i64, u64);

fn stamp(of: &Metadata) -> Stamp {
    (of.ino(), of.mtime(), of.mtime_nsec(), of.len())
}

/// The banned ids and the file that they lie in. The file is a line for each id; it lies in memory and holds
/// some hundred bytes, so reading it does not hold up the event loop.
pub struct Cordon {
    file: PathBuf,
    lock: PathBuf,
    cordoned: RefCell<BTreeSet<String>>,
    file_stamp: Cell<Option<Stamp>>,
}

impl Cordon {
    /// As the file has it, if there is one. What cannot be read of it is passed over.
    pub fn load(base: &Path) -> Cordon {
        let cordon = Cordon {
            file: base.with_extension("cordon"),
            lock: base.with_extension("cordon.lock"),
            cordoned: RefCell::default(),
            file_stamp: Cell::new(None),
        };
        cordon.refresh();
        cordon
    }

    pub fn contains(&self, id: &str) -> bool {
        self.cordoned.borrow().contains(id)
    }

    pub fn count(&self) -> usize {
        self.cordoned.borrow().len()
    }

    /// Takes in what another process wrote; whether anything changed.
    pub fn refresh(&self) -> bool {
        // A file that is not there bans nobody: it is written before the first yes and never removed.
        let Ok(found) = std::fs::metadata(&self.file) else { return false };
        if self.file_stamp.replace(Some(stamp(&found))) == Some(stamp(&found)) {
            return false;
        }
        match read(&self.file) {
            Ok(out) => self.cordoned.replace(out.clone()) != out,
            Err(e) => {
                warn!(error = %e, "the file of cordons cannot be read; those known stay");
                false
            }
        }
    }

    /// Bans a backend or lifts its ban; saved when it returns. Whether anything changed.
    pub async fn set(&self, id: &str, out: bool) -> Result<bool, CordonError> {
        let _lock = self.locked().await?;
        self.refresh();
        let mut set = self.cordoned.borrow().clone();
        let changed = if out { set.insert(id.into()) } else { set.remove(id) };
        if changed {
            self.save(&set)?;
            self.cordoned.replace(set);
        }
        Ok(changed)
    }

    /// Held while the file is read and written anew, so that two processes lose neither's change.
    async fn locked(&self) -> Result<File, CordonError> {
        let file = File::options().create(true).append(true).open(&self.lock)?;
        let tries = LOCK_PATIENCE.as_millis() / LOCK_PAUSE.as_millis();
        for _ in 0..tries {
            match file.try_lock() {
                Ok(()) => return Ok(file),
                Err(TryLockError::WouldBlock) => tokio::time::sleep(LOCK_PAUSE).await,
                Err(TryLockError::Error(e)) => return Err(e.into()),
            }
        }
        Err(CordonError::Locked)
    }

    /// A reader, and a process that starts after a kill, finds the old file or the new one, whole.
    fn save(&self, set: &BTreeSet<String>) -> io::Result<()> {
        let beside = self.file.with_extension("cordon.new");
        let mut file = File::create(&beside)?;
        let text: String = set.iter().flat_map(|id| [id.as_str(), "\n"]).collect();
        file.write_all(text.as_bytes())?;
        let written = stamp(&file.metadata()?);
        std::fs::rename(&beside, &self.file)?;
        self.file_stamp.set(Some(written));
        Ok(())
    }
}

fn read(path: &Path) -> io::Result<BTreeSet<String>> {
    let bytes = std::fs::read(path)?;
    let plain = |id: &&str| !id.chars().any(|c| c.is_control() || c.is_whitespace() || c == '\u{fffd}');
    let text = String::from_utf8_lossy(&bytes);
    let lines = text.lines().filter(|l| !l.is_empty());
    let (good, bad): (Vec<&str>, Vec<&str>) = lines.partition(plain);
    if !bad.is_empty() {
        warn!(lines = bad.len(), "lines of the file of cordons passed over");
    }
    Ok(good.into_iter().map(String::from).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn base(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("lotusdeck-cordon-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        dir.join("n0")
    }

    /// Two processes on one file: neither loses the other's change, and each hears of it.
    #[tokio::test]
    async fn two_processes_are_one() {
        let base = base("two");
        let (a, b) = (Cordon::load(&base), Cordon::load(&base));
        assert!(a.set("s-1", true).await.unwrap() && b.set("s-2", true).await.unwrap());
        assert!(!b.set("s-1", true).await.unwrap(), "it is out already");
        assert!(a.refresh() && !a.refresh());
        assert!(a.contains("s-1") && a.contains("s-2") && b.contains("s-1"));
        assert!(a.set("s-1", false).await.unwrap(), "one call back undoes two calls out");
        assert!(b.refresh() && !b.contains("s-1") && b.contains("s-2"));
        assert_eq!(Cordon::load(&base).count(), 1);
    }

    /// What is left of a damaged file holds, and changing it mends it.
    #[tokio::test]
    async fn a_damaged_file_bans_whom_it_still_names() {
        let base = base("damaged");
        std::fs::write(base.with_extension("cordon"), b"s-1\n\xff\xfe\0\ns-2\nhalf a line").unwrap();
        let cordon = Cordon::load(&base);
        assert!(cordon.contains("s-1") && cordon.contains("s-2") && cordon.count() == 2);
        cordon.set("s-3", true).await.unwrap();
        assert_eq!(Cordon::load(&base).count(), 3);
    }

    /// Where nothing can be written the answer is no, and nothing has changed.
    #[tokio::test]
    async fn what_cannot_be_saved_is_not_taken() {
        let cordon = Cordon::load(Path::new("/nowhere/at/all"));
        assert!(cordon.set("s-1", true).await.is_err() && !cordon.contains("s-1"));
    }
}
