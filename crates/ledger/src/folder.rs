//! The disk of a ledger as a folder of the file system.

use crate::disk::Disk;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The file whose lock the processes of a folder take.
const LOCK_FILE: &str = "ledger.lock";
/// The number of times that a lock held by another process is tried.
const LOCK_ATTEMPTS: u32 = 20;
/// The time between two attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The suffix of the file that becomes the next content of a file when it is replaced.
const SPARE_SUFFIX: &str = ".tmp";
/// The minimum size that is reserved for the next content of a file, bytes.
const MIN_SPARE_BYTES: u64 = 4096;

/// A folder of the file system.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Opens a folder, creating it if it does not exist.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        Ok(Folder(path.into()))
    }

    /// Opens an existing folder for reading.
    ///
    /// # Errors
    /// There is no folder at `path`, or it cannot be read.
    pub fn existing(path: &Path) -> io::Result<Folder> {
        std::fs::read_dir(path)?;
        Ok(Folder(path.into()))
    }

    /// Makes the names of created, renamed and deleted files survive a loss of power.
    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

/// Creates a file of `length` zero bytes.
fn reserve(path: &Path, length: u64) -> io::Result<()> {
    let file = File::create(path)?;
    Ok(rustix::fs::fallocate(&file, rustix::fs::FallocateFlags::empty(), 0, length)?)
}

/// Locks a file until it is closed.
///
/// # Errors
/// Another process holds the lock for too long, or files cannot be locked.
fn lock_file(file: &File) -> io::Result<()> {
    for _ in 0..LOCK_ATTEMPTS {
        match file.try_lock() {
            Ok(()) => return Ok(()),
            Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_RETRY_INTERVAL),
            Err(TryLockError::Error(error)) => return Err(error),
        }
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "another process holds the lock of the file"))
}

impl Disk for Folder {
    type File = File;
    type Lock = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.0)?.collect::<io::Result<Vec<_>>>()?;
        Ok(entries.into_iter().filter_map(|entry| entry.file_name().into_string().ok()).collect())
    }

    fn create(&mut self, name: &str, reserved: u64) -> io::Result<File> {
        let path = self.0.join(name);
        let file = OpenOptions::new().write(true).create_new(true).open(&path)?;
        if reserved > 0 {
            let allocated = rustix::fs::fallocate(&file, rustix::fs::FallocateFlags::empty(), 0, reserved);
            if let Err(error) = allocated {
                let _ = std::fs::remove_file(&path);
                return Err(error.into());
            }
        }
        // Held until the file is closed or the process ends. Where files cannot be locked, none counts as open.
        let _ = lock_file(&file);
        self.sync_names()?;
        Ok(file)
    }

    fn close(&mut self, file: File) {
        drop(file);
    }

    fn is_open(&self, name: &str) -> bool {
        let Ok(file) = File::open(self.0.join(name)) else { return false };
        matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.0.join(name);
        let spare = self.0.join(format!("{name}{SPARE_SUFFIX}"));
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(&spare)?;
        file.write_all_at(bytes, 0)?;
        file.set_len(bytes.len() as u64)?;
        file.sync_all()?;
        std::fs::rename(&spare, &path)?;
        self.sync_names()?;
        // An error is ignored: without a spare file, the next replacement needs room on the disk.
        let _ = reserve(&spare, MIN_SPARE_BYTES.max(2 * bytes.len() as u64));
        Ok(())
    }

    fn lock(&mut self) -> io::Result<File> {
        let file =
            OpenOptions::new().write(true).create(true).truncate(false).open(self.0.join(LOCK_FILE))?;
        lock_file(&file)?;
        Ok(file)
    }

    fn write(&mut self, file: &mut File, offset: u64, bytes: &[u8]) -> io::Result<()> {
        file.write_all_at(bytes, offset)
    }

    fn sync(&mut self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.0.join(name))
    }

    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.0.join(name))?;
        file.seek(SeekFrom::Start(offset))?;
        let mut bytes = Vec::new();
        file.take(length as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }

    fn free(&self) -> io::Result<u64> {
        let stat = rustix::fs::statvfs(&self.0)?;
        Ok(stat.f_bavail * stat.f_frsize)
    }
}
