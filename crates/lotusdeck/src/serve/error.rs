//! Errors of starting a proxy and of applying a new configuration.

use crate::fleet::FleetError;
use crate::operator::OperatorError;
use crate::postgres::PostgresError;
use lotusdeck_proxy::config::NodeConfigError;
use lotusdeck_proxy::listener_handover::ListenerHandoverError;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use thiserror::Error;

/// Why the proxy does not start, or does not apply a new configuration.
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
    /// The thread that read the files or prepared the settings ended early.
    #[error("background task ended early: {0}")]
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
    /// The state files cannot be locked, or their thread cannot be started.
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
        /// Descriptors that the fronts may use.
        postgres: usize,
        /// Descriptors that the process may use.
        limit: usize,
        /// Descriptors that must be left for HTTP.
        required: usize,
    },
    /// A limit or the fleet's members do not fit the node configuration.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// Sections of the operator file have changed that are only read at start-up.
    #[error("{sections} has changed: that needs a new start")]
    NeedsRestart {
        /// Their names, as written in the file.
        sections: &'static str,
    },
    /// An address cannot be listened on.
    #[error("cannot listen {purpose} on {address}: {source}")]
    Listen {
        /// Who connects to it.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl ServeError {
    /// Returns the exit code, which distinguishes invalid input from other failures.
    pub(super) fn exit_code(&self) -> ExitCode {
        match self {
            ServeError::NodeConfig(_) | ServeError::Operator(_) | ServeError::Fleet(_) => {
                ExitCode::from(crate::EXIT_INVALID_INPUT)
            }
            _ => ExitCode::FAILURE,
        }
    }
}
