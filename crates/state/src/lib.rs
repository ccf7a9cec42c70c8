//! What a proxy keeps across the death of its process, sans-IO: the bytes of a state file and back
//! ([`frame`]), what was learned and what is left of it at an age ([`estimates`]), and how much a state of a given age is worth against what the platform or discovery says
//! ([`confidence`]). Where and when the bytes are written is the program's; nothing here touches a disk or a clock.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used,
    reason = "not revised yet"
)]

pub mod confidence;
pub mod estimates;
pub mod frame;

pub use confidence::{choose, Age, Confidence, EndpointSource};
pub use estimates::{AgeWeighting, Estimates};
pub use frame::{decode, encode, Persisted, ReadError, SavedEndpoints};
