//! The state of the incoming message, as its bytes are read.

use super::head::{BodyHeaders, HeadEnd};
use crate::chunked_body::ChunkedBodyScanner;
use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of the incoming message.
pub(super) struct IncomingMessage {
    head_end: HeadEnd,
    headers: BodyHeaders,
    /// The position in a chunked body up to which it was read.
    chunks: Cell<ChunkedBodyScanner>,
    /// Bytes read after the head, or after the end of a chunked body.
    bytes_after_head: Cell<u64>,
    /// When the first byte of the message was read.
    started_at: Cell<Option<Instant>>,
    /// Notified when something is read.
    received: Notify,
    /// When something was last read, of this message or one before.
    last_read_at: Cell<Instant>,
    /// Bytes read of all messages.
    total_bytes: Cell<u64>,
}

impl IncomingMessage {
    pub(super) fn new() -> IncomingMessage {
        IncomingMessage {
            head_end: HeadEnd::pending(),
            headers: BodyHeaders::default(),
            chunks: Cell::default(),
            bytes_after_head: Cell::default(),
            started_at: Cell::default(),
            received: Notify::new(),
            last_read_at: Cell::new(Instant::now()),
            total_bytes: Cell::default(),
        }
    }

    /// Starts a new message.
    pub(super) fn reset(&self) {
        self.started_at.set(None);
        self.headers.reset();
        self.chunks.set(ChunkedBodyScanner::default());
        self.head_end.reset();
        self.bytes_after_head.set(0);
    }

    /// Records bytes that were just read.
    pub(super) fn record(&self, bytes: &[u8]) {
        let mut after_head = if self.head_end.is_passed() { bytes.len() } else { self.scan_head(bytes) };
        if self.headers.has_transfer_encoding() {
            let mut chunks = self.chunks.get();
            after_head = chunks.count_bytes_after(&bytes[bytes.len() - after_head..]);
            self.chunks.set(chunks);
        }
        self.bytes_after_head.set(self.bytes_after_head.get() + after_head as u64);
        self.total_bytes.set(self.total_bytes.get() + bytes.len() as u64);
        self.last_read_at.set(Instant::now());
        if !bytes.is_empty() {
            self.started_at.set(self.started_at.get().or(Some(self.last_read_at())));
            self.received.notify_waiters();
        }
    }

    /// Scans the bytes and returns how many of them follow the head.
    fn scan_head(&self, bytes: &[u8]) -> usize {
        let after_head = self.head_end.count_bytes_after(bytes);
        self.headers.scan(&bytes[..bytes.len() - after_head]);
        after_head
    }

    pub(super) fn has_content_length(&self) -> bool {
        self.headers.has_content_length()
    }

    /// Returns whether more was read than belongs to the message. `body_bytes` is ignored for a chunked body.
    pub(super) fn has_excess_bytes(&self, body_bytes: u64) -> bool {
        let expected = if self.headers.has_transfer_encoding() { 0 } else { body_bytes };
        self.bytes_after_head.get() > expected
    }

    /// Returns whether the last byte of the message was read. `length` is the length of its body, if the head gives it.
    pub(super) fn is_read_completely(&self, length: Option<u64>) -> bool {
        if self.headers.has_transfer_encoding() {
            return self.chunks.get().is_complete();
        }
        self.head_end.is_passed() && length.is_some_and(|length| self.bytes_after_head.get() >= length)
    }

    /// Returns how many bytes of a body of this length have not been read.
    pub(super) fn bytes_missing(&self, length: u64) -> u64 {
        length.saturating_sub(self.bytes_after_head.get())
    }

    pub(super) fn started_at(&self) -> Option<Instant> {
        self.started_at.get()
    }

    /// Waits until the first byte of the message was read.
    pub(super) async fn wait_for_start(&self) {
        while self.started_at.get().is_none() {
            self.received.notified().await;
        }
    }

    /// Waits until more is read from now on.
    pub(super) async fn wait_for_more(&self) {
        let bytes_before = self.total_bytes();
        while self.total_bytes() == bytes_before {
            self.received.notified().await;
        }
    }

    pub(super) fn last_read_at(&self) -> Instant {
        self.last_read_at.get()
    }

    pub(super) fn total_bytes(&self) -> u64 {
        self.total_bytes.get()
    }
}
