//! Datagrams between proxies: a magic number, a tag of everything that has to be the same on both sides, then one message
//! in postcard.
//!
//! The tag is a checksum of the site, the fleet's size and its limits: proxies that are configured with other limits do
//! not understand each other, and each keeps to its own part meanwhile, as one whose links are down does.
//!
//! Postcard writes fields and variants by their order, so that the order in the types of this module, in [`Amount`] and
//! in [`LoadReport`] is fixed.

use crate::amount::Amount;
use crate::load_gossip::LoadReport;
use crate::membership::MAX_PACKET_BYTES;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

const MAGIC: [u8; 4] = *b"LDF1";
/// Magic number and tag.
const HEADER_BYTES: usize = 8;
/// Variant and length in front of the membership's bytes, at most.
const MESSAGE_OVERHEAD_BYTES: usize = 8;
/// The longest datagram that is read: the membership's longest, and this protocol's header around it.
pub const MAX_DATAGRAM_BYTES: usize = MAX_PACKET_BYTES + HEADER_BYTES + MESSAGE_OVERHEAD_BYTES;

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A packet of the membership protocol.
    Swim(Vec<u8>),
    /// The load of members, as far as the sender knows it.
    LoadReports(Vec<LoadReport>),
    /// Requests a lease of a limit, in place of what the recipient granted of it before.
    LeaseRequest {
        /// The borrower's index.
        from: u32,
        /// The borrower's generation.
        generation: u64,
        /// Where the answer goes.
        reply_to: SocketAddr,
        /// The limit, by its place among all limits.
        limit: u16,
        /// Repeated by the answer. It has random bits, so that a third party cannot forge an answer.
        nonce: u64,
        /// The requested part of the limit.
        requested: Amount,
    },
    /// Grants a lease, which ends one lease duration after it was requested; zero, where there is nothing to spare.
    LeaseGrant {
        /// The lender's index.
        from: u32,
        /// Of the request.
        nonce: u64,
        /// At most what was requested.
        granted: Amount,
    },
}

/// Why a datagram is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// It is not of this protocol.
    #[error("not a proxy's datagram")]
    ForeignProtocol,
    /// It is of another site, a fleet of another size, or other limits.
    #[error("another site, fleet or set of limits: tag {received:08x}, this proxy's is {own:08x}")]
    TagMismatch {
        /// Of the datagram.
        received: u32,
        /// Of this proxy.
        own: u32,
    },
    /// Its message cannot be read.
    #[error("message: {0}")]
    Malformed(#[source] postcard::Error),
}

/// The tag of a text that holds everything that has to be the same on both sides.
pub fn tag(text: &str) -> u32 {
    crc32c::crc32c(text.as_bytes())
}

/// The bytes of a datagram.
pub fn encode(tag: u32, message: &Message) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(64);
    datagram.extend_from_slice(&MAGIC);
    datagram.extend_from_slice(&tag.to_le_bytes());
    // Serializing numbers and bytes into a vector cannot fail.
    datagram.extend_from_slice(&postcard::to_allocvec(message).unwrap_or_default());
    datagram
}

/// The message of a datagram.
///
/// # Errors
/// The datagram is not of this fleet, or its message cannot be read.
pub fn decode(own_tag: u32, datagram: &[u8]) -> Result<Message, WireError> {
    let (magic, rest) = datagram.split_first_chunk::<4>().ok_or(WireError::ForeignProtocol)?;
    let (tag, body) = rest.split_first_chunk::<4>().ok_or(WireError::ForeignProtocol)?;
    if *magic != MAGIC {
        return Err(WireError::ForeignProtocol);
    }
    let received = u32::from_le_bytes(*tag);
    if received != own_tag {
        return Err(WireError::TagMismatch { received, own: own_tag });
    }
    postcard::from_bytes(body).map_err(WireError::Malformed)
}

#[cfg(test)]
mod tests;
