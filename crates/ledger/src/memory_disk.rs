//! An in-memory disk for tests, which can lose unsynced writes, tear a write, flip bits, fill up and fail.

mod stored_file;

use crate::disk::Disk;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use stored_file::{PendingWrite, StoredFile};

/// The size that is reserved for the next content of a replaced file, bytes.
const SPARE_BYTES: u64 = 512;

/// The faults that a disk injects. Operations are numbered from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The first operation for which the disk is full.
    pub full_from: Option<usize>,
    /// The operation that fails if it is a sync; the writes that it should make durable are lost.
    pub failing_sync: Option<usize>,
    /// Whether the writes of the failing sync become durable all the same.
    pub keeps_unsynced: bool,
    /// The first operation for which the disk is no longer full.
    pub recovers_at: Option<usize>,
    /// The total size of all files in bytes beyond which the disk is full.
    pub capacity: Option<usize>,
    /// The operation during which the process is killed. Later ones fail without an effect.
    pub killed_at: Option<usize>,
    /// The number of bytes that the interrupted operation has written.
    pub torn_length: usize,
}

/// A summary of the unsynced writes of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsyncedWrites {
    /// The maximum number of unsynced writes in one file.
    pub max_per_file: usize,
    /// The length of the longest unsynced write, bytes.
    pub max_length: usize,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, StoredFile>,
    /// The names of the files that running processes write.
    open: BTreeSet<String>,
    operations: usize,
    faults: Faults,
}

/// An in-memory disk. Clones share its files.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Rc<RefCell<State>>);

impl MemoryDisk {
    /// Creates an empty disk that injects `faults`.
    pub fn with_faults(faults: Faults) -> MemoryDisk {
        let disk = MemoryDisk::default();
        disk.0.borrow_mut().faults = faults;
        disk
    }

    /// Replaces the faults. Operations are numbered from 0 again.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.0.borrow_mut();
        state.operations = 0;
        state.faults = faults;
    }

    /// Ends all processes that use the disk: no file is open any longer.
    pub fn end_processes(&self) {
        self.0.borrow_mut().open.clear();
    }

    /// Returns the number of operations so far.
    pub fn operations(&self) -> usize {
        self.0.borrow().operations
    }

    /// Returns a copy in the state that the next process finds after a kill: it has all writes.
    pub fn after_kill(&self) -> MemoryDisk {
        self.copy_with(StoredFile::content)
    }

    /// Returns a copy in the state found after a loss of power: of the writes since the last sync of each file, it has
    /// the first `kept` and the first `torn` bytes of the next one.
    pub fn after_power_loss(&self, kept: usize, torn: usize) -> MemoryDisk {
        self.copy_with(|file| {
            let mut content = file.synced.clone();
            file.pending.iter().take(kept).for_each(|write| write.apply(&mut content));
            if let Some(write) = file.pending.get(kept) {
                write.apply_part(&mut content, torn);
            }
            content
        })
    }

    /// Returns a disk without faults whose files have the content that `content` returns.
    fn copy_with(&self, content: impl Fn(&StoredFile) -> Vec<u8>) -> MemoryDisk {
        let state = self.0.borrow();
        let files = state.files.iter().map(|(name, file)| (name.clone(), StoredFile::of(content(file))));
        MemoryDisk(Rc::new(RefCell::new(State { files: files.collect(), ..State::default() })))
    }

    /// Summarizes the writes that have not been synced.
    pub fn unsynced(&self) -> UnsyncedWrites {
        let state = self.0.borrow();
        let max_per_file = state.files.values().map(|file| file.pending.len()).max();
        let max_length =
            state.files.values().flat_map(|file| &file.pending).map(|write| write.bytes.len()).max();
        UnsyncedWrites { max_per_file: max_per_file.unwrap_or(0), max_length: max_length.unwrap_or(0) }
    }

    /// Flips a synced bit of a file. Returns false if there is no such bit.
    pub fn flip(&self, name: &str, bit: usize) -> bool {
        let mut state = self.0.borrow_mut();
        let byte = state.files.get_mut(name).and_then(|file| file.synced.get_mut(bit / 8));
        byte.map(|byte| *byte ^= 1 << (bit % 8)).is_some()
    }

    /// Returns whether the process that uses the disk was killed.
    pub fn is_killed(&self) -> bool {
        let state = self.0.borrow();
        state.faults.killed_at.is_some_and(|killed_at| state.operations > killed_at)
    }

    /// Counts an operation and returns its number.
    ///
    /// # Errors
    /// The disk is full, or the process was killed.
    fn count_operation(&self) -> io::Result<usize> {
        let mut state = self.0.borrow_mut();
        let number = state.operations;
        state.operations += 1;
        if state.faults.killed_at.is_some_and(|killed_at| number >= killed_at) {
            return Err(io::ErrorKind::Interrupted.into());
        }
        let is_full = state.faults.full_from.is_some_and(|first| number >= first);
        let has_recovered = state.faults.recovers_at.is_some_and(|first| number >= first);
        if is_full && !has_recovered {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(number)
    }

    /// Checks that the files may grow by this length.
    ///
    /// # Errors
    /// The disk is full.
    fn check_capacity(&self, growth: usize) -> io::Result<()> {
        let state = self.0.borrow();
        let used: usize = state.files.values().map(|file| file.content().len()).sum();
        let is_full = state.faults.capacity.is_some_and(|capacity| used + growth > capacity);
        if is_full && growth > 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Returns by how much a file grows if it gets this length.
    fn growth(&self, name: &str, length: usize) -> usize {
        let state = self.0.borrow();
        length.saturating_sub(state.files.get(name).map_or(0, |file| file.content().len()))
    }

    /// Counts a write of `length` bytes. Returns how many of them are written, and whether that succeeded: a kill may
    /// interrupt the write.
    fn count_write(&self, length: usize) -> (usize, io::Result<()>) {
        let counted = self.count_operation().map(drop);
        let state = self.0.borrow();
        let is_interrupted =
            state.faults.killed_at.is_some_and(|killed_at| state.operations == killed_at + 1);
        let written = match &counted {
            Ok(()) => length,
            Err(_) if is_interrupted => state.faults.torn_length.min(length),
            Err(_) => 0,
        };
        (written, counted)
    }

    fn write_pending(&self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let stored = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        stored.pending.push(PendingWrite { offset: offset as usize, bytes: bytes.to_vec() });
        Ok(())
    }
}

impl Disk for MemoryDisk {
    type File = String;
    type Lock = ();

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn create(&mut self, name: &str, reserved: u64) -> io::Result<String> {
        self.count_operation()?;
        self.check_capacity(reserved as usize)?;
        let file = StoredFile::of(vec![0; reserved as usize]);
        let mut state = self.0.borrow_mut();
        state.files.insert(name.into(), file);
        state.open.insert(name.into());
        Ok(name.into())
    }

    fn close(&mut self, file: String) {
        self.0.borrow_mut().open.remove(&file);
    }

    fn is_open(&self, name: &str) -> bool {
        self.0.borrow().open.contains(name)
    }

    fn write(&mut self, file: &mut String, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.check_capacity(self.growth(file, offset as usize + bytes.len()))?;
        let (written, counted) = self.count_write(bytes.len());
        if written > 0 {
            self.write_pending(file, offset, &bytes[..written])?;
        }
        counted
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let spare = format!("{name}.tmp");
        self.check_capacity(self.growth(&spare, bytes.len()))?;
        let (written, counted) = self.count_write(bytes.len());
        if written > 0 {
            let file = StoredFile::of(bytes[..written].to_vec());
            self.0.borrow_mut().files.insert(spare.clone(), file);
        }
        counted?;
        let sync = self.count_operation()?;
        if self.0.borrow().faults.failing_sync == Some(sync) {
            return Err(io::Error::other("injected sync failure"));
        }
        self.count_operation()?; // the rename
        {
            let mut state = self.0.borrow_mut();
            let file = state.files.remove(&spare).ok_or(io::ErrorKind::NotFound)?;
            state.files.insert(name.into(), file);
        }
        if let Ok(file) = self.create(&spare, SPARE_BYTES) {
            self.close(file);
        }
        Ok(())
    }

    fn lock(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn sync(&mut self, file: &mut String) -> io::Result<()> {
        let operation = self.count_operation()?;
        let mut state = self.0.borrow_mut();
        let fails = state.faults.failing_sync == Some(operation);
        let keeps_unsynced = state.faults.keeps_unsynced;
        let stored = state.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
        if fails {
            if keeps_unsynced {
                stored.synced = stored.content();
            }
            // Otherwise the writes are dropped as by a page cache: a second sync would succeed.
            stored.pending.clear();
            return Err(io::Error::other("injected sync failure"));
        }
        stored.synced = stored.content();
        stored.pending.clear();
        Ok(())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.0.borrow();
        state.files.get(name).map(StoredFile::content).ok_or(io::ErrorKind::NotFound.into())
    }

    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let content = self.read(name)?;
        let start = (offset as usize).min(content.len());
        let end = (start + length).min(content.len());
        Ok(content[start..end].to_vec())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.0.borrow_mut().files.remove(name);
        Ok(())
    }

    fn free(&self) -> io::Result<u64> {
        Ok(u64::MAX)
    }
}
