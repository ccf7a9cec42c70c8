//! The state that a proxy persists across restarts: the format of the files ([`frame`]), the estimates and their
//! discount by age ([`estimates`]), and the confidence in a saved endpoint list by its age ([`confidence`]). The
//! crate accesses neither the disk nor the clock; the program decides where and when the files are written.

pub mod confidence;
pub mod estimates;
pub mod frame;

pub use confidence::{choose_endpoint_source, Age, Confidence, EndpointSource};
pub use estimates::{AgeWeighting, Estimates};
pub use frame::{decode, encode, Persisted, ReadError, SavedEndpoints};
