//! `[configuration]`: the source of settings.

use std::net::SocketAddr;

/// The section `[configuration]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfigurationSection {
    /// The address of the source; `None` if none is followed.
    pub source: Option<SocketAddr>,
}
