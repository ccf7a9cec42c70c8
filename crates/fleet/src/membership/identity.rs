//! Identities of the proxies of a fleet.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A proxy of the fleet. It is a part of datagrams, so that the order of its fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its place in the fleet, from 0, as the platform numbers it.
    pub proxy_index: u32,
    /// Its incarnation: rises with each start of the process and each return after it was declared dead.
    pub generation: u64,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

impl foca::Identity for Identity {
    type Addr = u32;

    fn renew(&self) -> Option<Identity> {
        Some(Identity { generation: self.generation + 1, ..self.clone() })
    }

    fn addr(&self) -> u32 {
        self.proxy_index
    }

    fn win_addr_conflict(&self, adversary: &Identity) -> bool {
        self.generation > adversary.generation
    }
}

/// A proxy of the fleet that a new one announces itself to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its place in the fleet.
    pub proxy_index: u32,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}
