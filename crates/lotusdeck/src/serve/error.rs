//! Why a proxy does not start, or does not apply a new configuration.

use crate::fleet::FleetError;
use crate::operator::OperatorError;
use crate::postgres::PostgresError;
use lotusdeck_proxy::config::NodeConfigError;
use lotusdeck_proxy::listener_handover::ListenerHandoverError;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use thiserror::Error;

/// Why it does not serve, or does not apply a new configuration.
#[derive(Debug, Error)]
pub(super) enum ServeError {
    /// The node configuration is wrong.
    #[error(transparent)]
    NodeConfig(#[from] NodeConfigError),
    /// The operator file is wrong.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The listener named by the environment cannot be taken over.
    #[error(transparent)]
    Inherited(#[from] ListenerHandoverError),
    /// Signal handlers cannot be installed.
    #[error("no signals: {0}")]
    Signals(#[source] io::Error),
    /// The thread that read the files ended early.
    #[error("reading was interrupted: {0}")]
    Interrupted(#[source] tokio::task::JoinError),
    /// The event loop cannot be started.
    #[error("no event loop: {0}")]
    EventLoop(#[source] io::Error),
    /// The thread that follows the source of configuration cannot be started.
    #[error("configuration: {0}")]
    Configuration(#[source] io::Error),
    /// The ledger cannot be opened.
    #[error("ledger: {0}")]
    Ledger(#[source] io::Error),
    /// The state files cannot be locked or their thread not started.
    #[error("state: {0}")]
    State(#[source] io::Error),
    /// A PostgreSQL front cannot run.
    #[error(transparent)]
    Postgres(#[from] PostgresError),
    /// The fronts would leave too few descriptors for HTTP.
    #[error(
        "[[postgres]] asks for {postgres} descriptors (clients and connections) of {limit}: \
         {required} at least have to be left"
    )]
    Descriptors {
        /// What the fronts may take.
        postgres: usize,
        /// What the process may hold.
        limit: usize,
        /// What has to be left for HTTP.
        required: usize,
    },
    /// A limit or the fleet is configured against the node configuration.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// Sections of the operator file changed that are read at start-up only.
    #[error("{sections} has changed: that needs a new start")]
    NeedsRestart {
        /// As they are written in the file.
        sections: &'static str,
    },
    /// An address cannot be listened on.
    #[error("cannot listen {purpose} on {address}: {source}")]
    Listen {
        /// For whom.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

impl ServeError {
    /// The exit code: refused input, or a failure.
    pub(super) fn exit_code(&self) -> ExitCode {
        match self {
            ServeError::NodeConfig(_) | ServeError::Operator(_) | ServeError::Fleet(_) => {
                ExitCode::from(crate::EXIT_INVALID_INPUT)
            }
            _ => ExitCode::FAILURE,
        }
    }
}
