//! `[fleet]`: how this proxy reaches the other proxies of its fleet.

use std::net::SocketAddr;
use std::time::Duration;

/// Another proxy of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FleetMember {
    /// Its position in the fleet, from 0.
    pub position: u32,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
}

/// The section `[fleet]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FleetSection {
    /// The address at which this proxy receives datagrams; `None` if it exchanges none.
    pub listen: Option<SocketAddr>,
    /// The address at which other proxies reach it, if that is a different one.
    pub advertise: Option<SocketAddr>,
    /// Some of the other proxies.
    pub members: Vec<FleetMember>,
    /// The site's name; datagrams of other sites are not read.
    pub site: String,
    /// How long a part of a quota is leased to another proxy.
    pub lease_duration: Duration,
}

impl Default for FleetSection {
    fn default() -> FleetSection {
        FleetSection {
            listen: None,
            advertise: None,
            members: Vec::new(),
            site: String::new(),
            lease_duration: Duration::from_secs(1),
        }
    }
}

/// Parses members such as `0@10.0.0.1:7400 1@10.0.0.2:7400`; returns `None` if the text has another form.
pub(super) fn parse_members(text: &str) -> Option<Vec<FleetMember>> {
    let member = |word: &str| {
        let (position, address) = word.split_once('@')?;
        Some(FleetMember { position: position.parse().ok()?, address: address.parse().ok()? })
    };
    text.split_whitespace().map(member).collect()
}
