//! A file of the in-memory disk, with the writes that have not been synced.

/// A write that has not been synced.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    pub(super) offset: usize,
    pub(super) bytes: Vec<u8>,
}

impl PendingWrite {
    pub(super) fn apply(&self, content: &mut Vec<u8>) {
        self.apply_part(content, self.bytes.len());
    }

    /// Applies the first `length` bytes of the write, or all if there are fewer.
    pub(super) fn apply_part(&self, content: &mut Vec<u8>, length: usize) {
        let part = &self.bytes[..length.min(self.bytes.len())];
        let end = self.offset + part.len();
        content.resize(content.len().max(end), 0);
        content[self.offset..end].copy_from_slice(part);
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct StoredFile {
    /// The content that survives a loss of power.
    pub(super) synced: Vec<u8>,
    /// The writes since the last sync, in order.
    pub(super) pending: Vec<PendingWrite>,
}

impl StoredFile {
    pub(super) fn of(synced: Vec<u8>) -> StoredFile {
        StoredFile { synced, pending: Vec::new() }
    }

    /// Returns the content with all writes, synced or not.
    pub(super) fn content(&self) -> Vec<u8> {
        let mut content = self.synced.clone();
        self.pending.iter().for_each(|write| write.apply(&mut content));
        content
    }
}
