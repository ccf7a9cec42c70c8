//! A front for clients and servers of the PostgreSQL wire protocol, version 3 (PostgreSQL documentation, "Frontend/Backend
//! Protocol"). Framing, the state of a transaction and SCRAM know no sockets; a session hands each transaction to the
//! core, which says where it goes.

mod bridge;
mod carry;
pub mod classes;
mod error;
pub mod scram;
mod session;
pub mod track;
mod upstream;
pub mod wire;

pub use session::{Front, FrontSettings, User, SPARE};
pub use upstream::{Login, Servers};
