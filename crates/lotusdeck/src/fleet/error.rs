//! Why the limits and members of the operator file do not fit the node configuration.

use thiserror::Error;

/// What a limit is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitScope {
    /// Requests of a class.
    Class,
    /// Requests of a tenant.
    Tenant,
}

impl std::fmt::Display for LimitScope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            LimitScope::Class => "class",
            LimitScope::Tenant => "tenant",
        })
    }
}

/// Why there are no fleet-wide limits.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum FleetError {
    /// A limit that would hold for nothing.
    #[error("limit {limit:?}: the settings have no {scope} {name:?}")]
    Unknown {
        /// The limit's name.
        limit: String,
        /// What it is of.
        scope: LimitScope,
        /// The name that the settings lack.
        name: String,
    },
    /// A member that the fleet does not have.
    #[error("fleet.members: position {position} in a fleet of {size}")]
    Member {
        /// The member's position.
        position: u32,
        /// Proxies of the fleet.
        size: u32,
    },
}
