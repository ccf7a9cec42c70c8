//! The disk that a ledger is written to.

use std::io;

/// A folder of files: a real one is [`Folder`](crate::Folder), one that fails on demand
/// [`MemoryDisk`](crate::memory_disk::MemoryDisk).
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
