//! Messages that no server gets: the rest of a part whose transaction has failed.

use super::Session;
use crate::statements::SessionEnd;
use crate::wire::{header, Header, HEADER_BYTES};
use bytes::{Buf, BytesMut};

/// What was skipped.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Skipped {
    /// Whether a message among them may begin a transaction block.
    pub(super) may_begin_block: bool,
}

/// Returns whether a message of this type ends a part of a pipeline, which one ReadyForQuery answers.
fn ends_part(kind: u8) -> bool {
    matches!(kind, b'Q' | b'F' | b'S')
}

/// A message at the beginning of a buffer.
struct BufferedMessage<'a> {
    header: Header,
    /// As much of its body as is in the buffer.
    body: &'a [u8],
}

impl BufferedMessage<'_> {
    /// Returns the first message of a buffer; `None` if its header is not complete, or invalid.
    fn first(bytes: &[u8]) -> Option<BufferedMessage<'_>> {
        let header = header(bytes).ok().flatten()?;
        let end = bytes.len().min(HEADER_BYTES + header.length);
        Some(BufferedMessage { header, body: &bytes[HEADER_BYTES..end] })
    }

    fn is_complete(&self) -> bool {
        self.body.len() == self.header.length
    }
}

impl Session {
    /// Skips the rest of a partially forwarded message.
    pub(super) async fn skip_rest(&self) -> Result<(), SessionEnd> {
        while !self.client.to_server.borrow().is_at_boundary() {
            let (mut input, mut discarded) = (self.client.input.take(), BytesMut::new());
            let forwarded =
                self.client.to_server.borrow_mut().forward(&mut input, &mut discarded, |_, _| false);
            self.client.input.replace(input);
            forwarded?;
            if !self.client.to_server.borrow().is_at_boundary() {
                self.receive_more().await?;
            }
        }
        Ok(())
    }

    /// Skips the next message, whose header has arrived.
    pub(super) async fn skip_message(&self) -> Result<(), SessionEnd> {
        let next_header = header(&self.client.input.borrow())?;
        if let Some(Header { length, .. }) = next_header {
            self.client.input.borrow_mut().advance(HEADER_BYTES);
            self.client.to_server.borrow_mut().continue_message(length);
        }
        self.skip_rest().await
    }

    /// Skips the messages up to the end of the current part.
    pub(super) async fn skip_part(&self) -> Result<Skipped, SessionEnd> {
        let mut skipped = Skipped::default();
        loop {
            self.skip_rest().await?;
            let Some(kind) = self.next_kind()? else {
                self.receive_more().await?;
                continue;
            };
            if kind == b'X' {
                return Err(SessionEnd::ClientLeft);
            }
            skipped.may_begin_block |= self.next_may_begin_block();
            self.skip_message().await?;
            if ends_part(kind) {
                return Ok(skipped);
            }
        }
    }

    /// Returns whether the next message may begin a transaction block.
    fn next_may_begin_block(&self) -> bool {
        let input = self.client.input.borrow();
        let first = BufferedMessage::first(&input);
        first.is_some_and(|message| self.may_begin_block(&message))
    }

    /// Returns whether a complete message in the buffered rest of the current part may begin a transaction block.
    pub(super) fn buffered_part_may_begin_block(&self) -> bool {
        let input = self.client.input.borrow();
        let forwarded_in_part = self.client.to_server.borrow().remaining();
        let mut rest = input.get(forwarded_in_part..).unwrap_or_default();
        while let Some(message) = BufferedMessage::first(rest).filter(BufferedMessage::is_complete) {
            if self.may_begin_block(&message) {
                return true;
            }
            if ends_part(message.header.kind) {
                return false;
            }
            rest = &rest[HEADER_BYTES + message.header.length..];
        }
        false
    }

    fn may_begin_block(&self, message: &BufferedMessage<'_>) -> bool {
        self.client.statements.borrow().may_begin_block(message.header, message.body)
    }
}
