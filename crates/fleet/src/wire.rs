//! Datagrams between proxies: a magic number, a tag of everything that must be the same on both sides, and one
//! message in postcard.
//!
//! The tag is a checksum of the site, the fleet's size, its limits and the durations of leases and requests. Proxies
//! that are configured differently reject each other's datagrams; until they agree, each uses only its own part of a
//! limit, as it does when its links are down.
//!
//! Postcard encodes fields and variants by their order, so the order in the types of this module, in [`Amount`] and in
//! [`LoadReport`] is fixed.

use crate::amount::Amount;
use crate::load_gossip::LoadReport;
use crate::membership::MAX_PACKET_BYTES;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

const MAGIC: [u8; 4] = *b"LDF1";
/// Length of the magic number and the tag.
const HEADER_BYTES: usize = 8;
/// Maximum length of the variant and the length prefix in front of a membership packet.
const MESSAGE_OVERHEAD_BYTES: usize = 8;
/// Maximum length of a datagram that is read: the longest membership packet and this protocol's overhead.
pub const MAX_DATAGRAM_BYTES: usize = MAX_PACKET_BYTES + HEADER_BYTES + MESSAGE_OVERHEAD_BYTES;

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A packet of the membership protocol.
    Swim(Vec<u8>),
    /// Load reports of the sender and of other members.
    LoadReports(Vec<LoadReport>),
    /// Requests a lease of a limit, which replaces what the recipient granted of it before.
    LeaseRequest {
        /// Index of the borrower.
        from: u32,
        /// Generation of the borrower's process.
        generation: u64,
        /// Address to which the answer is sent.
        reply_to: SocketAddr,
        /// Index of the limit among all limits.
        limit: u16,
        /// Number of the request; the answer repeats it. It has random bits, so that a third party cannot forge an
        /// answer.
        nonce: u64,
        /// Requested part of the limit.
        requested: Amount,
    },
    /// Grants a lease, which ends one lease duration after it was requested. The amount is zero if the lender has
    /// nothing to spare.
    LeaseGrant {
        /// Index of the lender.
        from: u32,
        /// Nonce of the request.
        nonce: u64,
        /// Granted part of the limit, at most what was requested.
        granted: Amount,
    },
}

/// Error returned when a datagram is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The datagram is not of this protocol.
    #[error("not a datagram of the fleet protocol")]
    ForeignProtocol,
    /// The datagram is of another site, a fleet of another size, or other limits or durations.
    #[error("another site, fleet or set of limits: tag {received:08x}, this proxy's is {own:08x}")]
    TagMismatch {
        /// Tag of the datagram.
        received: u32,
        /// Tag of this proxy.
        own: u32,
    },
    /// The message cannot be decoded.
    #[error("malformed message: {0}")]
    Malformed(#[source] postcard::Error),
}

/// Returns the tag of a text that contains everything that must be the same on both sides.
pub fn tag(text: &str) -> u32 {
    crc32c::crc32c(text.as_bytes())
}

/// Encodes a datagram.
pub fn encode(tag: u32, message: &Message) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(64);
    datagram.extend_from_slice(&MAGIC);
    datagram.extend_from_slice(&tag.to_le_bytes());
    // Serializing numbers and bytes into a vector cannot fail.
    datagram.extend_from_slice(&postcard::to_allocvec(message).unwrap_or_default());
    datagram
}

/// Decodes a datagram and returns its message.
///
/// # Errors
/// The datagram is not of this fleet, or its message cannot be decoded.
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
