//! Datagrams between proxies: a magic number, a tag of all that has to be the same on both sides, then one message in
//! postcard.
//!
//! The tag is drawn from the site, the fleet's size and its limits: proxies that were told of other limits do not
//! understand each other, and each keeps to its own share meanwhile, as one whose links are cut does.

use crate::load_gossip::LoadReport;
use serde::{Deserialize, Serialize};
use thiserror::Error;

const MAGIC: [u8; 4] = *b"LDF1";
/// Magic and tag.
const HEADER: usize = 8;
/// The longest datagram that is read: a membership's longest, and this crate's header around it.
pub const MAX_DATAGRAM_BYTES: usize = crate::membership::MAX_PACKET_BYTES + HEADER + 8;

/// How much of a limit is asked for or lent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub slots: u32,
}

impl Amount {
    /// Neither.
    pub fn is_zero(&self) -> bool {
        self.rate <= 0.0 && self.slots == 0
    }
}

/// What one proxy says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The membership's own bytes.
    Swim(Vec<u8>),
    /// What members hold, as far as the sender knows.
    LoadReports(Vec<LoadReport>),
    /// Lend me of this limit, for one term; in place of what you lent me of it before.
    LeaseRequest {
        /// Who asks, by position.
        from: u32,
        /// Its generation.
        generation: u64,
        /// Where the answer goes.
        reply_to: std::net::SocketAddr,
        /// Which limit, by its place among them.
        limit: u16,
        /// Named by the answer; drawn at random, so that a stranger cannot answer.
        nonce: u64,
        /// How much.
        wanted: Amount,
    },
    /// So much is lent, from when it was asked for to one term later; nothing, where there is nothing to spare.
    LeaseGrant {
        /// Who lends, by position.
        from: u32,
        /// Of the question.
        nonce: u64,
        /// How much, at most what was asked for.
        granted: Amount,
    },
}

/// Why a datagram is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// Not of this protocol.
    #[error("not a proxy's datagram")]
    ForeignProtocol,
    /// Another site, another size of the fleet, or other limits.
    #[error("another site, fleet or set of limits: tag {received:08x}, this proxy's is {own:08x}")]
    TagMismatch {
        /// Of the datagram.
        received: u32,
        /// Of this proxy.
        own: u32,
    },
    /// It makes no sense.
    #[error("message: {0}")]
    Malformed(#[source] postcard::Error),
}

/// The tag of a text that holds all that has to be the same.
pub fn tag(text: &str) -> u32 {
    crc32c::crc32c(text.as_bytes())
}

/// A datagram's bytes.
pub fn encode(tag: u32, message: &Message) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&tag.to_le_bytes());
    // Numbers and bytes always serialise; there is no error to carry.
    out.extend_from_slice(&postcard::to_allocvec(message).unwrap_or_default());
    out
}

/// A message from a datagram's bytes.
///
/// # Errors
/// Whatever is wrong with them.
pub fn decode(own: u32, bytes: &[u8]) -> Result<Message, WireError> {
    let (magic, rest) = bytes.split_first_chunk::<4>().ok_or(WireError::ForeignProtocol)?;
    let (tag, body) = rest.split_first_chunk::<4>().ok_or(WireError::ForeignProtocol)?;
    if *magic != MAGIC {
        return Err(WireError::ForeignProtocol);
    }
    let tag = u32::from_le_bytes(*tag);
    if tag != own {
        return Err(WireError::TagMismatch { received: tag, own });
    }
    postcard::from_bytes(body).map_err(WireError::Malformed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_message_comes_back_and_another_fleets_does_not() {
        let grant = Message::LeaseGrant { from: 3, nonce: 9, granted: Amount { rate: 2.5, slots: 4 } };
        let bytes = encode(7, &grant);
        assert_eq!(decode(7, &bytes), Ok(grant));
        assert_eq!(decode(8, &bytes), Err(WireError::TagMismatch { received: 7, own: 8 }));
        assert_eq!(decode(7, b"GET / HTTP/1.1"), Err(WireError::ForeignProtocol));
    }

    proptest! {
        /// Whatever comes is read or refused, never a panic.
        #[test]
        fn any_bytes_are_read_or_refused(body in proptest::collection::vec(any::<u8>(), 0..200)) {
            let mut bytes = encode(7, &Message::Swim(Vec::new()));
            bytes.truncate(HEADER);
            bytes.extend(body);
            let _ = decode(7, &bytes);
        }
    }
}
