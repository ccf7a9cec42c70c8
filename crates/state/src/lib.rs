//! What a proxy persists beyond the life of its process, without I/O: the format of the files ([`frame`]), the
//! estimates and what remains of them at an age ([`estimates`]), and how far a saved list can be trusted at its age
//! ([`confidence`]). Where and when the files are written is the program's part; nothing here uses a disk or a clock.

pub mod confidence;
pub mod estimates;
pub mod frame;

pub use confidence::{choose_endpoint_source, Age, Confidence, EndpointSource};
pub use estimates::{AgeWeighting, Estimates};
pub use frame::{decode, encode, Persisted, ReadError, SavedEndpoints};
