//! `[fleet]`: how this proxy reaches the others of its fleet.

use std::net::SocketAddr;
use std::time::Duration;

/// Another proxy of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FleetMember {
    /// Its position in the fleet, from 0.
    pub position: u32,
    /// Where it takes datagrams.
    pub address: SocketAddr,
}

/// `[fleet]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FleetSection {
    /// Where this proxy takes datagrams; `None` where it exchanges none.
    pub listen: Option<SocketAddr>,
    /// Where the others reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Some of the others.
    pub members: Vec<FleetMember>,
    /// The site's name; another site's datagrams are not read.
    pub site: String,
    /// How long a quota is lent.
    pub term: Duration,
}

impl Default for FleetSection {
    fn default() -> FleetSection {
        FleetSection {
            listen: None,
            advertise: None,
            members: Vec::new(),
            site: String::new(),
            term: Duration::from_secs(1),
        }
    }
}

/// Members from `0@10.0.0.1:7400 1@10.0.0.2:7400`; `None` where it is no such text.
pub(super) fn parse_members(text: &str) -> Option<Vec<FleetMember>> {
    let member = |word: &str| {
        let (position, address) = word.split_once('@')?;
        Some(FleetMember { position: position.parse().ok()?, address: address.parse().ok()? })
    };
    text.split_whitespace().map(member).collect()
}
