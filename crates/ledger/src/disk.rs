//! The disk that the ledger writes to: a real folder here, and one that fails on demand in [`crate::memory_disk`].

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A folder of files.
pub trait Disk {
    /// An open file.
    type File;
    /// The names of the files, in no particular order.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Creates a file with `reserved` bytes of zeros; its name survives a loss of power once this returns.
    ///
    /// # Errors
    /// The file exists already, or the space cannot be reserved.
    fn create(&mut self, name: &str, reserved: u64) -> io::Result<Self::File>;
    /// Writes all bytes at `offset`.
    ///
    /// # Errors
    /// The write failed, perhaps in part.
    fn write(&mut self, file: &mut Self::File, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was written survive a loss of power.
    ///
    /// # Errors
    /// The sync failed; which of the writes survive is unknown then.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;
    /// All bytes of a file.
    ///
    /// # Errors
    /// The file cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// `length` bytes of a file from `offset`, or fewer at its end.
    ///
    /// # Errors
    /// The file cannot be read.
    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;
    /// Deletes a file.
    ///
    /// # Errors
    /// The file cannot be deleted.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Free space, bytes.
    ///
    /// # Errors
    /// The file system does not report it.
    fn free(&self) -> io::Result<u64>;
}

/// A real folder.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Opens a folder, and creates it if it does not exist.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        Ok(Folder(path.into()))
    }

    /// Opens an existing folder, to be read.
    ///
    /// # Errors
    /// There is no folder at `path`, or it cannot be read.
    pub fn existing(path: &Path) -> io::Result<Folder> {
        std::fs::read_dir(path)?;
        Ok(Folder(path.into()))
    }
}

impl Disk for Folder {
    type File = File;

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
        File::open(&self.0)?.sync_all()?;
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
