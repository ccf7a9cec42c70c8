//! The storage interface of the ledger.

use std::io;

/// A folder of files, either of the file system ([`Folder`](crate::Folder)) or in memory with injected faults
/// ([`MemoryDisk`](crate::memory_disk::MemoryDisk)).
pub trait Disk {
    /// An open file.
    type File;
    /// Holds the lock until it is dropped.
    type Lock;
    /// Returns the names of the files, in no particular order.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Creates a file of `reserved` zero bytes and opens it for writing. Once this returns, the file's name survives a loss
    /// of power.
    ///
    /// # Errors
    /// The file exists already, or the space cannot be reserved.
    fn create(&mut self, name: &str, reserved: u64) -> io::Result<Self::File>;
    /// Writes all bytes at `offset`.
    ///
    /// # Errors
    /// The write failed; a part of the bytes may have been written.
    fn write(&mut self, file: &mut Self::File, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes all writes to `file` survive a loss of power.
    ///
    /// # Errors
    /// The sync failed; which of the writes survive is unknown.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;
    /// Closes a file that was created.
    fn close(&mut self, file: Self::File);
    /// Returns whether a process that has created the file has neither closed it nor ended. Returns false where that is
    /// unknown.
    fn is_open(&self, name: &str) -> bool;
    /// Reads all bytes of a file.
    ///
    /// # Errors
    /// The file cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Reads `length` bytes of a file from `offset`, or fewer at its end.
    ///
    /// # Errors
    /// The file cannot be read.
    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;
    /// Replaces the content of a file, or creates it. Once this returns, the new content survives a loss of power; at any
    /// time before, the file has either its old content or the new one. Room is reserved for the next replacement, so that
    /// it succeeds on a full disk.
    ///
    /// # Errors
    /// The file could not be replaced, or it is unknown whether its new content survives a loss of power.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Locks the folder against other processes that lock it.
    ///
    /// # Errors
    /// Another process holds the lock for too long, or the folder cannot be locked.
    fn lock(&mut self) -> io::Result<Self::Lock>;
    /// Deletes a file.
    ///
    /// # Errors
    /// The file cannot be deleted.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Returns the free space in bytes.
    ///
    /// # Errors
    /// The file system does not report it.
    fn free(&self) -> io::Result<u64>;
}
