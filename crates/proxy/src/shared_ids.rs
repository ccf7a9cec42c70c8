//! Ids of requests that the other process of an upgrade must not send again.
//!
//! Each process writes the ids that it holds to a file of its own, which the other one reads. The file is a table of hashes
//! of fixed size: a bucket that is full loses one of its ids.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets.
const BUCKETS: usize = 4096;
/// Number of ids in a bucket.
const BUCKET_IDS: usize = 8;
/// The length of a hash in the file, in bytes.
const HASH_BYTES: usize = size_of::<u64>();
/// The hash that marks a free place.
const FREE: u64 = 0;

/// Returns the hash of an id, the same in every process.
fn hash(id: &[u8]) -> u64 {
    xxh3_64(id).max(FREE + 1)
}

fn bucket_of(hash: u64) -> usize {
    hash as usize % BUCKETS
}

/// The ids that this process holds, and the file of those that the other one holds.
pub struct SharedIds {
    /// The contents of this process's file.
    own: RefCell<Box<[u64]>>,
    own_file: File,
    other_file: File,
    has_failed: Cell<bool>,
}

impl SharedIds {
    /// Creates the file of this process, without ids, and opens the one of the other process.
    ///
    /// # Errors
    /// A file cannot be opened.
    pub fn open(own: &Path, other: &Path) -> io::Result<SharedIds> {
        let own_file = File::options().create(true).write(true).truncate(true).open(own)?;
        let other_file = File::options().create(true).append(true).read(true).open(other)?;
        let own = RefCell::new(vec![FREE; BUCKETS * BUCKET_IDS].into_boxed_slice());
        Ok(SharedIds { own, own_file, other_file, has_failed: Cell::new(false) })
    }

    /// Adds an id, and returns whether the other process holds it. Of two processes that add the same id at the same time
    /// at least one is told so, as each writes before it reads.
    pub(crate) fn add(&self, id: &[u8]) -> bool {
        let hash = hash(id);
        self.replace(hash, FREE, hash);
        let mut bucket = [0; BUCKET_IDS * HASH_BYTES];
        let offset = (bucket_of(hash) * BUCKET_IDS * HASH_BYTES) as u64;
        let read = self.other_file.read_at(&mut bucket, offset);
        let count = self.checked(read).unwrap_or(0);
        bucket[..count].chunks_exact(HASH_BYTES).any(|entry| entry == hash.to_ne_bytes())
    }

    /// Removes an id.
    pub(crate) fn remove(&self, id: &[u8]) {
        let hash = hash(id);
        self.replace(hash, hash, FREE);
    }

    /// Replaces `from` by `to` in the bucket of `hash`. If a free place is wanted and there is none, another id loses its
    /// place; an id that has lost its place is not removed.
    fn replace(&self, hash: u64, from: u64, to: u64) {
        let start = bucket_of(hash) * BUCKET_IDS;
        let mut own = self.own.borrow_mut();
        let bucket = &own[start..start + BUCKET_IDS];
        let position = match bucket.iter().position(|entry| *entry == from) {
            Some(position) => position,
            None if from == FREE => (hash / BUCKETS as u64) as usize % BUCKET_IDS,
            None => return,
        };
        own[start + position] = to;
        let offset = ((start + position) * HASH_BYTES) as u64;
        self.checked(self.own_file.write_all_at(&to.to_ne_bytes(), offset));
    }

    /// Logs the first failure of a file.
    fn checked<T>(&self, result: io::Result<T>) -> Option<T> {
        if let Err(error) = &result {
            if !self.has_failed.replace(true) {
                warn!(%error, "ids of requests are not shared with another process");
            }
        }
        result.ok()
    }
}

#[cfg(test)]
mod tests;
