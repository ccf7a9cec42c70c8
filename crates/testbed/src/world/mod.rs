//! The model of what stands around a proxy. No sockets and no clocks: whoever drives it says what time it is,
//! so that one model serves real sockets and virtual time alike. Time counts from the start of the run.

pub mod backend;
pub mod discovery;
pub mod dispatcher;
pub mod plan;
pub mod rng;
pub mod station;
