//! What the ledger needs of a disk. One that is real, and in [`crate::memory`] one that fails on demand.

use std::fs::{File, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A folder of files.
pub trait Disk {
    /// An open file.
    type File;
    /// The names of the files, in no order.
    ///
    /// # Errors
    /// Those of the file system, as all below.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A new file with that much room reserved, all zeros; its name survives a loss of power once this returns.
    fn create(&mut self, name: &str, room: u64) -> io::Result<Self::File>;
    /// Writes all of it there.
    fn write(&mut self, file: &mut Self::File, at: u64, bytes: &[u8]) -> io::Result<()>;
    /// What was written survives a loss of power once this returns. After an error nobody knows what does.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;
    /// All bytes of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Some bytes of a file, fewer at its end.
    fn read_at(&self, name: &str, at: u64, length: usize) -> io::Result<Vec<u8>>;
    /// Forgets a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Bytes that can still be written.
    fn free(&self) -> io::Result<u64>;
}

/// A real folder.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Makes it where it is not there.
    ///
    /// # Errors
    /// Those of the file system.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        Ok(Folder(path.into()))
    }

    /// One that is there, to be read.
    ///
    /// # Errors
    /// Where it is no folder.
    pub fn existing(path: &Path) -> io::Result<Folder> {
        std::fs::read_dir(path)?;
        Ok(Folder(path.into()))
    }
}

impl Disk for Folder {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.0)?.collect::<io::Result<Vec<_>>>()?;
        Ok(entries.into_iter().filter_map(|e| e.file_name().into_string().ok()).collect())
    }

    fn create(&mut self, name: &str, room: u64) -> io::Result<File> {
        let path = self.0.join(name);
        let file = OpenOptions::new().write(true).create_new(true).open(&path)?;
        if room > 0 {
            let made = rustix::fs::fallocate(&file, rustix::fs::FallocateFlags::empty(), 0, room);
            if let Err(e) = made {
                let _ = std::fs::remove_file(&path);
                return Err(e.into());
            }
        }
        File::open(&self.0)?.sync_all()?;
        Ok(file)
    }

    fn write(&mut self, file: &mut File, at: u64, bytes: &[u8]) -> io::Result<()> {
        file.write_all_at(bytes, at)
    }

    fn sync(&mut self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.0.join(name))
    }

    fn read_at(&self, name: &str, at: u64, length: usize) -> io::Result<Vec<u8>> {
        use std::io::{Seek, SeekFrom};
        let mut file = File::open(self.0.join(name))?;
        file.seek(SeekFrom::Start(at))?;
        let mut out = Vec::new();
        file.take(length as u64).read_to_end(&mut out)?;
        Ok(out)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }

    fn free(&self) -> io::Result<u64> {
        let stat = rustix::fs::statvfs(&self.0)?;
        Ok(stat.f_bavail * stat.f_frsize)
    }
}
