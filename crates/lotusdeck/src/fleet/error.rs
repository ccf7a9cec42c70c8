//! The reasons why the limits and members of the operator file do not fit the node configuration.

use thiserror::Error;

/// What a limit applies to.
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

/// Why fleet-wide limits cannot be set up.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum FleetError {
    /// A limit names a class or tenant that does not exist.
    #[error("limit {limit:?}: the settings have no {scope} {name:?}")]
    Unknown {
        /// The limit's name.
        limit: String,
        /// What the limit applies to.
        scope: LimitScope,
        /// The name that does not exist in the settings.
        name: String,
    },
    /// A member's position is not below the size of the fleet.
    #[error("fleet.members: position {position} in a fleet of {size}")]
    Member {
        /// The member's position.
        position: u32,
        /// The number of proxies in the fleet.
        size: u32,
    },
}
