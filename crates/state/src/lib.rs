//! What a proxy keeps across the death of its process, sans-IO: the bytes of a state file and back
//! ([`frame`]), what was learned and what is left of it at an age ([`estimates`]), and how much a state of a given age is worth against what the platform or discovery says
//! ([`confidence`]). Where and when the bytes are written is the program's; nothing here touches a disk or a clock.

pub mod confidence;
pub mod estimates;
pub mod frame;

pub use confidence::{choose, Age, Confidence, EndpointSource};
pub use estimates::{AgeWeighting, Estimates};
pub use frame::{decode, encode, Persisted, ReadError, SavedEndpoints};
