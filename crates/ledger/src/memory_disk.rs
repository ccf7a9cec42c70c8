//! A disk in memory that can lose what was not synced, tear a write, flip bits, fill up and fail, for tests.

use crate::disk::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Clone, Debug, Default)]
struct Stored {
    /// What survives a loss of power.
    synced: Vec<u8>,
    /// Writes since, in their order.
    pending: Vec<(usize, Vec<u8>)>,
}

impl Stored {
    fn whole(&self) -> Vec<u8> {
        let mut out = self.synced.clone();
        self.pending.iter().for_each(|(at, bytes)| put(&mut out, *at, bytes));
        out
    }
}

fn put(out: &mut Vec<u8>, at: usize, bytes: &[u8]) {
    out.resize(out.len().max(at + bytes.len()), 0);
    out[at..at + bytes.len()].copy_from_slice(bytes);
}

/// What is about to go wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// No byte can be written after so many operations, this being the first at 0.
    pub full_after: Option<usize>,
    /// A sync fails at that operation, and what it was to make safe is lost.
    pub sync_fails: Option<usize>,
    /// Writing works again from that operation on.
    pub mended_at: Option<usize>,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, Stored>,
    operations: usize,
    faults: Faults,
}

/// The disk; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Rc<RefCell<State>>);

impl MemoryDisk {
    /// An empty one on which that will go wrong.
    pub fn with_faults(faults: Faults) -> MemoryDisk {
        let memory = MemoryDisk::default();
        memory.0.borrow_mut().faults = faults;
        memory
    }

    /// How many operations there have been.
    pub fn operations(&self) -> usize {
        self.0.borrow().operations
    }

    /// As a process would find it that starts after another was killed: all that was written is there.
    pub fn after_kill(&self) -> MemoryDisk {
        let state = self.0.borrow();
        let files = state
            .files
            .iter()
            .map(|(name, f)| (name.clone(), Stored { synced: f.whole(), pending: Vec::new() }));
        MemoryDisk(Rc::new(RefCell::new(State { files: files.collect(), ..State::default() })))
    }

    /// As it is found after a loss of power: of the writes since the last sync of each file the first `kept` are
    /// there, and `torn` bytes of the next one.
    pub fn after_power_loss(&self, kept: usize, torn: usize) -> MemoryDisk {
        let state = self.0.borrow();
        let files = state.files.iter().map(|(name, f)| {
            let mut bytes = f.synced.clone();
            f.pending.iter().take(kept).for_each(|(at, w)| put(&mut bytes, *at, w));
            if let Some((at, w)) = f.pending.get(kept) {
                put(&mut bytes, *at, &w[..torn.min(w.len())]);
            }
            (name.clone(), Stored { synced: bytes, pending: Vec::new() })
        });
        MemoryDisk(Rc::new(RefCell::new(State { files: files.collect(), ..State::default() })))
    }

    /// How many writes are not synced in any file, and the length of the longest.
    pub fn unsynced(&self) -> (usize, usize) {
        let state = self.0.borrow();
        let most = state.files.values().map(|f| f.pending.len()).max().unwrap_or(0);
        let longest = state.files.values().flat_map(|f| &f.pending).map(|(_, w)| w.len()).max();
        (most, longest.unwrap_or(0))
    }

    /// Turns a bit of a file over; false where there is none.
    pub fn flip(&self, name: &str, bit: usize) -> bool {
        let mut state = self.0.borrow_mut();
        let byte = state.files.get_mut(name).and_then(|f| f.synced.get_mut(bit / 8));
        byte.map(|b| *b ^= 1 << (bit % 8)).is_some()
    }

    fn operate(&self) -> io::Result<usize> {
        let mut state = self.0.borrow_mut();
        let now = state.operations;
        state.operations += 1;
        let mended = state.faults.mended_at.is_some_and(|at| now >= at);
        if state.faults.full_after.is_some_and(|at| now >= at) && !mended {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(now)
    }
}

impl Disk for MemoryDisk {
    type File = String;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn create(&mut self, name: &str, room: u64) -> io::Result<String> {
        self.operate()?;
        let stored = Stored { synced: vec![0; room as usize], pending: Vec::new() };
        self.0.borrow_mut().files.insert(name.into(), stored);
        Ok(name.into())
    }

    fn write(&mut self, file: &mut String, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.operate()?;
        let mut state = self.0.borrow_mut();
        let stored = state.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
        stored.pending.push((at as usize, bytes.to_vec()));
        Ok(())
    }

    fn sync(&mut self, file: &mut String) -> io::Result<()> {
        let now = self.operate()?;
        let mut state = self.0.borrow_mut();
        let fails = state.faults.sync_fails == Some(now);
        let stored = state.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
        if fails {
            stored.pending.clear(); // as page caches do: the writes are dropped, and a second sync would say yes
            return Err(io::Error::other("the disk failed"));
        }
        stored.synced = stored.whole();
        stored.pending.clear();
        Ok(())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.0.borrow();
        state.files.get(name).map(Stored::whole).ok_or(io::ErrorKind::NotFound.into())
    }

    fn read_at(&self, name: &str, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let all = self.read(name)?;
        let from = (at as usize).min(all.len());
        Ok(all[from..(from + length).min(all.len())].to_vec())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.operate()?;
        self.0.borrow_mut().files.remove(name);
        Ok(())
    }

    fn free(&self) -> io::Result<u64> {
        Ok(u64::MAX)
    }
}
