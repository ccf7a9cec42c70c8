//! The encoding of the membership protocol's packets.

use super::identity::Identity;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec};
use thiserror::Error;

/// Postcard encoding that rejects members with an index beyond the fleet's size, so that packets of a third party
/// cannot add more members than the fleet has.
pub(super) struct BoundedCodec {
    fleet_size: u32,
}

/// Error of encoding or decoding a packet.
#[derive(Debug, Error)]
pub(super) enum CodecError {
    /// Postcard cannot encode or decode the packet.
    #[error(transparent)]
    Postcard(#[from] postcard::Error),
    /// The packet names a member with an index beyond the fleet's size.
    #[error("position {proxy_index} in a fleet of {fleet_size}")]
    ProxyIndexOutOfRange {
        /// Index in the packet.
        proxy_index: u32,
        /// Number of proxies in this fleet.
        fleet_size: u32,
    },
}

impl BoundedCodec {
    pub(super) fn new(fleet_size: u32) -> BoundedCodec {
        BoundedCodec { fleet_size }
    }

    fn check(&self, identity: &Identity) -> Result<(), CodecError> {
        let (proxy_index, fleet_size) = (identity.proxy_index, self.fleet_size);
        if proxy_index >= fleet_size {
            return Err(CodecError::ProxyIndexOutOfRange { proxy_index, fleet_size });
        }
        Ok(())
    }
}

impl Codec<Identity> for BoundedCodec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, CodecError> {
        let header: Header<Identity> = PostcardCodec.decode_header(buf)?;
        self.check(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>, CodecError> {
        let member: Member<Identity> = PostcardCodec.decode_member(buf)?;
        self.check(member.id())?;
        Ok(member)
    }
}
