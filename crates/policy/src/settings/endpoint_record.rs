//! Entries of the endpoint list, with names instead of ids.

use crate::api::Backend;

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Number of low bits of the hash that are dropped from an order key.
const ORDER_KEY_SHIFT: u32 = 20;

/// An entry of the endpoint list, with names instead of ids, which differ between proxies.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// The address at which the backend listens.
    pub address: String,
    pub(super) zone: String,
    pub(super) kind: String,
    pub(super) entry: Backend,
}

impl EndpointRecord {
    /// Creates the record of a backend. `name` is its name at every proxy, whose hash is the order key.
    pub fn new(name: &str, address: &str, zone: &str, kind: &str, entry: Backend) -> EndpointRecord {
        let entry = Backend { order_key: fnv1a(name) >> ORDER_KEY_SHIFT, ..entry };
        EndpointRecord { address: address.into(), zone: zone.into(), kind: kind.into(), entry }
    }
}

fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
