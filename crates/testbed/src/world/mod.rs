//! The model of a proxy's surroundings: backends, discovery, arrivals and planned troubles. It has no sockets and
//! no clock: the driver passes the time in, so the same model serves real sockets and virtual time. Time counts
//! from the start of the run.

pub mod backend;
pub mod discovery;
pub mod dispatcher;
pub mod plan;
pub mod rng;
pub mod station;
