//! What a proxy keeps across the death of its process, sans-IO: the bytes of a state file and back
//! ([`frame`]), what was learned and what is left of it at an age ([`learned`]), and how much a state of a given age is worth against what the platform or discovery says
//! ([`trust`]). Where and when the bytes are written is the program's; nothing here touches a disk or a clock.

pub mod frame;
pub mod learned;
pub mod trust;

pub use frame::{decode, encode, Kept, ReadError, Saved};
pub use learned::{Learned, Weighing};
pub use trust::{choose, Age, Choice, Trust};
