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
pub const MAX_DATAGRAM: usize = crate::membership::MAX_PACKET + HEADER + 8;

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
    pub fn is_none(&self) -> bool {
        self.rate <= 0.0 && self.slots == 0
    }
}

/// What one proxy says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The membership's own bytes.
    Swim(Vec<u8>),
    /// What members hold, as far as the sender knows.
    Held(Vec<LoadReport>),
    /// Lend me of this limit, for one term; in place of what you lent me of it before.
    Ask {
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
        want: Amount,
    },
    /// So much is lent, from when it was asked for to one term later; nothing, where there is nothing to spare.
    Grant {
        /// Who lends, by position.
        from: u32,
        /// Of the question.
        nonce: u64,
        /// How much, at most what was asked for.
        lent: Amount,
    },
}

/// Why a datagram is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// Not of this protocol.
    #[error("not a proxy's datagram")]
    Foreign,
    /// Another site, another size of the fleet, or other limits.
    #[error("another site, fleet or set of limits: tag {0:08x}, this proxy's is {1:08x}")]
    Tag(u32, u32),
    /// It makes no sense.
    #[error("message: {0}")]
    Message(postcard::Error),
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
    let (magic, rest) = bytes.split_first_chunk::<4>().ok_or(WireError::Foreign)?;
    let (tag, body) = rest.split_first_chunk::<4>().ok_or(WireError::Foreign)?;
    if *magic != MAGIC {
        return Err(WireError::Foreign);
    }
    let tag = u32::from_le_bytes(*tag);
    if tag != own {
        return Err(WireError::Tag(tag, own));
    }
    postcard::from_bytes(body).map_err(WireError::Message)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_message_comes_back_and_another_fleets_does_not() {
        let grant = Message::Grant { from: 3, nonce: 9, lent: Amount { rate: 2.5, slots: 4 } };
        let bytes = encode(7, &grant);
        assert_eq!(decode(7, &bytes), Ok(grant));
        assert_eq!(decode(8, &bytes), Err(WireError::Tag(7, 8)));
        assert_eq!(decode(7, b"GET / HTTP/1.1"), Err(WireError::Foreign));
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
