//! The buffers and the state of one direction between a client and a server connection.

use super::server_statements::ServerStatements;
use crate::track::ConnectionTracker;
use crate::wire::{message, Forwarder, Header, Message, WireError};
use bytes::{Bytes, BytesMut};

/// One direction between a client and a server connection.
pub(crate) struct Direction<'a> {
    /// The position within the current message.
    pub(crate) forwarder: &'a mut Forwarder,
    /// The state of the server connection.
    pub(crate) tracker: &'a mut ConnectionTracker,
    /// Bytes received and not yet forwarded.
    pub(crate) from: &'a mut BytesMut,
    /// Bytes to be sent.
    pub(crate) to: &'a mut BytesMut,
    /// The statements prepared on the server connection.
    pub(crate) server: &'a mut ServerStatements,
}

impl Direction<'_> {
    /// Forwards the bytes of the current message that have arrived.
    pub(super) fn forward_rest(&mut self) -> Result<(), WireError> {
        self.forwarder.forward(self.from, self.to, |_, _| false)?;
        Ok(())
    }

    /// Forwards the bytes of the next message that have arrived. Returns the first byte of its body, if it has one, or
    /// `None` if the message cannot be forwarded yet.
    pub(super) fn forward_next(&mut self) -> Result<Option<Option<u8>>, WireError> {
        let mut is_next = true;
        let mut first_byte = None;
        let inspect = |_: Header, first: Option<u8>| {
            let is_forwarded = std::mem::take(&mut is_next);
            if is_forwarded {
                first_byte = first;
            }
            is_forwarded
        };
        let moved = self.forwarder.forward(self.from, self.to, inspect)?;
        Ok((moved > 0).then_some(first_byte))
    }

    /// Takes a message with a body of at most `max_body` bytes; returns `None` if it is not complete yet.
    pub(super) fn take_message(&mut self, max_body: usize) -> Result<Option<Bytes>, WireError> {
        Ok(message(self.from, max_body)?.map(|Message { body, .. }| body))
    }
}
