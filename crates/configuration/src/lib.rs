//! Distribution of settings to all proxies, sans-IO: one source publishes versions of a document of named entries, and
//! each proxy follows it by deltas. A version is applied completely or not at all: the checksum over the document has to
//! match, and its settings have to pass the proxy's own checks, before anything of it is in force.
//! docs/configuration-distribution.md holds the bounds, the messages and the alternatives considered.
//!
//! - [`entry`]: sections, keys and entries;
//! - [`document`]: all entries in their canonical order, and the settings object that they represent;
//! - [`checksum`]: an incremental checksum over all entries;
//! - [`version`]: the source's epoch and a number that only rises;
//! - [`delta`]: the change from one version to another, and a full document;
//! - [`message`]: the source's answers; [`encode`] and [`decode`] are their texts;
//! - [`poll`]: a follower's request; [`invalid_settings`]: the verdict of its own checks;
//! - [`staging`]: building a version in bounded slices without touching the one in force;
//! - [`follower`]: the proxy's side; [`backoff`]: its pauses after failures;
//! - [`history`] and [`source`]: the publishing side; [`long_poll`]: its bounded queue of open polls.
//!
//! Time is a span since the process began, by a clock that never steps back; clocks of different processes are not
//! compared.

pub mod backoff;
pub mod checksum;
mod decoding;
pub mod delta;
pub mod document;
mod encoding;
pub mod entry;
pub mod follower;
pub mod history;
pub mod invalid_settings;
pub mod long_poll;
pub mod message;
mod message_fields;
pub mod poll;
pub mod source;
pub mod staging;
pub mod version;

pub use checksum::Checksum;
pub use decoding::decode;
pub use delta::{Delta, FullDocument};
pub use document::{Document, DocumentError};
pub use encoding::encode;
pub use entry::{Entry, Key, Section};
pub use follower::{Failure, Follower, FollowerSettings, NextStep, Rejection, SyncState};
pub use invalid_settings::InvalidSettings;
pub use message::{Message, MessageError};
pub use poll::Poll;
pub use source::{Publication, PublishError, Source};
pub use staging::Candidate;
pub use version::Version;
