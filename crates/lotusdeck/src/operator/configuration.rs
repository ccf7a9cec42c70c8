//! `[configuration]`: where settings are followed from.

use std::net::SocketAddr;

/// `[configuration]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfigurationSection {
    /// Where the source is; `None` where none is followed.
    pub source: Option<SocketAddr>,
}
