//! The encoding of the membership protocol's packets.

use super::identity::Identity;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec};
use thiserror::Error;

/// Postcard, which rejects members beyond the fleet's size: there are never more members than that, whatever a third
/// party sends.
pub(super) struct BoundedCodec {
    fleet_size: u32,
}

/// Why a packet cannot be decoded.
#[derive(Debug, Error)]
pub(super) enum CodecError {
    /// Its bytes cannot be read.
    #[error(transparent)]
    Postcard(#[from] postcard::Error),
    /// It names a member that the fleet does not have.
    #[error("position {proxy_index} in a fleet of {fleet_size}")]
    ProxyIndexOutOfRange {
        /// Of the packet.
        proxy_index: u32,
        /// Proxies of this fleet.
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
