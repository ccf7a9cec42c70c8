//! Identities of the proxies of a fleet.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A proxy of the fleet. Datagrams contain it, so the order of its fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Index in the fleet, from 0, assigned by the platform.
    pub proxy_index: u32,
    /// Incarnation: increases with each start of the process and each return after the proxy was declared dead.
    pub generation: u64,
    /// Address at which the proxy receives datagrams.
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

/// A proxy to which new members announce themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Index in the fleet.
    pub proxy_index: u32,
    /// Address at which the proxy receives datagrams.
    pub address: SocketAddr,
}
