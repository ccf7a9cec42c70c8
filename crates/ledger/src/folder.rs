//! The disk of a ledger as a folder of the file system.

use crate::disk::Disk;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

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
